"""Command `hornbeamreach` for operators."""

from __future__ import annotations

import secrets
import sys
from pathlib import Path
from typing import Any

import fire
import httpcore
import trio

from hornbeamreach.cli.output import (
    EXIT_REFUSED,
    exit_with_error,
    print_columns,
    print_json,
    print_line,
)
from hornbeamreach.cli.profile import load_profile
from hornbeamreach.cli.table_check import check_table_file
from hornbeamreach.converters import structure, to_plain
from hornbeamreach.demo.deployment import sha256
from hornbeamreach.demo.scenario import run_demo
from hornbeamreach.demo.serve import run_serve
from hornbeamreach.exceptions import HornbeamreachError, RefusedError, TableError
from hornbeamreach.logs import configure_logs
from hornbeamreach.settings import detect_kind, load_settings
from hornbeamreach.tables.control_state import OrderAction
from hornbeamreach.tables.declared import ROW_CLASSES, DeclaredTable, row_columns
from hornbeamreach.tables.table_file import (
    compare_tables,
    edits_between,
    format_toml,
    load_table,
)
from hornbeamreach.verdict import Reason
from hornbeamreach.web.client import OperatorClient

KEY_BYTES = 24
OPERATION_ID_BYTES = 8


def _client() -> OperatorClient:
    profile = load_profile()
    return OperatorClient(addresses=profile.control, credential=profile.credential)


def _new_operation_id() -> str:
    return f"op-{secrets.token_hex(OPERATION_ID_BYTES)}"


def _fetch_table(client: OperatorClient) -> tuple[DeclaredTable, dict[str, Any]]:
    response = client.send("GET", "/operator/v1/table")
    return structure(response["table"], DeclaredTable, error=TableError), response


def _send_operation(path: str, body: dict[str, Any], operation: str, json: bool) -> None:
    """Send an operation; add its id to a refusal, so that it can be sent again."""
    operation_id = operation or _new_operation_id()
    try:
        response = _client().send(
            "POST", f"/operator/v1/{path}", {"operation_id": operation_id, **body}
        )
    except RefusedError as exc:
        exc.detail += f" (operation {operation_id})"
        raise
    if json:
        print_json(response)
    else:
        print_line(
            f"accepted as version {response['version']} (operation {response['operation_id']})"
        )


def _change_evacuation(data_center: str, action: str, json: bool) -> None:
    body = {"data_center": data_center, "action": action}
    response = _client().send("POST", "/operator/v1/evacuations", body)
    if json:
        print_json(response)
    elif response["evacuated_since_ms"] is None:
        print_line(f"{data_center}: not evacuated")
    else:
        print_line(f"{data_center}: evacuated, nothing starts there")


class TableCommands:
    """Show, check, compare, apply and export the declared table."""

    def show(self, kind: str = "", json: bool = False) -> None:
        """Show the table in force, with a section for each kind and a column for each setting.

        Args:
            kind: show only this kind: teams, pools, services, queues or vms.
            json: print JSON, with the version of each row.
        """
        table, response = _fetch_table(_client())
        if kind and kind not in ROW_CLASSES:
            raise TableError(f"unknown kind; known: {', '.join(ROW_CLASSES)}", path=kind)
        if json:
            print_json(response)
            return
        print_line(f"version {response['version']}")
        for name in [kind] if kind else ROW_CLASSES:
            _print_rows(name, table.rows(name), response["row_versions"].get(name, {}))

    def diff(self, file: str, json: bool = False) -> None:
        """Show what applying a file would change.

        Args:
            file: a table in TOML.
            json: print JSON.
        """
        desired = load_table(file)
        table, _ = _fetch_table(_client())
        differences = compare_tables(table, desired)
        if json:
            print_json(differences)
            return
        for difference in differences:
            print_line(difference.describe())
        if not differences:
            print_line("no differences")

    def check(self, file: str, json: bool = False) -> None:
        """Check a file without sending it, and show what applying it would change.

        The exit code is 1 if control would refuse the file, and 3 if there are only warnings.

        Args:
            file: a table in TOML.
            json: print JSON.
        """
        result = check_table_file(file, lambda: _fetch_table(_client()))
        if json:
            print_json(result)
        else:
            for line in result.lines():
                print_line(line)
        sys.exit(result.exit_code())

    def apply(self, file: str, operation: str = "", json: bool = False) -> None:
        """Make the table equal to a file; a change is in force everywhere once it is accepted.

        The whole change is refused if another operator has changed one of its rows meanwhile.

        Args:
            file: a table in TOML.
            operation: id of the operation to send again after a lost response.
            json: print JSON.
        """
        desired = load_table(file)
        table, response = _fetch_table(_client())
        edits = edits_between(table, desired, response["row_versions"])
        if not edits:
            print_line("no differences")
            return
        _send_operation("changes", {"edits": to_plain(edits)}, operation, json)

    def export(self) -> None:
        """Print the table in force as TOML; applying the output changes nothing."""
        table, _ = _fetch_table(_client())
        print(format_toml(table), end="")


def _print_rows(kind: str, rows: dict[str, Any], versions: dict[str, int]) -> None:
    print_line(f"\n[{kind}]")
    if not rows:
        print_line("(no rows)")
        return
    columns = list(row_columns(next(iter(rows.values()))))
    table = [["name", *columns, "version"]]
    for name in sorted(rows):
        values = row_columns(rows[name])
        cells = [str(values[column]) for column in columns]
        table.append([name, *cells, str(versions.get(name, 0))])
    print_columns(table)


class KeyCommands:
    """Grant, withdraw and list the keys of teams."""

    def grant(self, team: str, key_id: str = "", operation: str = "") -> None:
        """Grant a new key to a team and print it; it can't be shown again.

        Args:
            team: the team's name in the table.
            key_id: a label that identifies the key.
            operation: an operation id of your choice.
        """
        key = secrets.token_urlsafe(KEY_BYTES)
        label = key_id or secrets.token_hex(4)
        edit = {"key_hash": sha256(key), "team": team, "key_id": label}
        _send_operation("changes", {"key_edits": [edit]}, operation, json=False)
        print_line(f"key id: {label}")
        print_line(f"key: {key}")

    def withdraw(self, key_id: str, operation: str = "", json: bool = False) -> None:
        """Withdraw a key by its label; accepted once no process accepts the key.

        Args:
            key_id: the label that was printed when the key was granted.
            operation: id of the operation to send again after a lost response.
            json: print JSON.
        """
        response = _client().send("GET", "/operator/v1/table")
        hashes = [key["key_hash"] for key in response["keys"] if key["key_id"] == str(key_id)]
        if not hashes:
            raise RefusedError(Reason.UNKNOWN_ROW, f"no key has the id {key_id!r}")
        edits = [{"key_hash": key_hash, "withdraw": True} for key_hash in hashes]
        _send_operation("changes", {"key_edits": edits}, operation, json)

    def list(self, json: bool = False) -> None:
        """List the ids and teams of the granted keys.

        Args:
            json: print JSON.
        """
        keys = _client().send("GET", "/operator/v1/table")["keys"]
        listed = [{"key_id": key["key_id"], "team": key["team"]} for key in keys]
        if json:
            print_json(listed)
            return
        print_columns([["key id", "team"], *([key["key_id"], key["team"]] for key in listed)])


class VmCommands:
    """Drain, return and move VMs."""

    def drain(self, vm: str, keep_out: bool = False, operation: str = "") -> None:
        """Order a drain and reboot of a VM, as soon as the availability budget of its pool allows.

        Args:
            vm: the VM's name in the table.
            keep_out: keep the VM out of service after draining, without a reboot.
            operation: id of the operation to send again after a lost response.
        """
        action = OrderAction.KEEP_OUT if keep_out else OrderAction.REBOOT
        self._order(vm, action, operation)

    def back(self, vm: str, operation: str = "") -> None:
        """Return a VM to service, or cancel an order that has not begun.

        Args:
            vm: the VM's name in the table.
            operation: id of the operation to send again after a lost response.
        """
        self._order(vm, OrderAction.RETURN, operation)

    def _order(self, vm: str, action: OrderAction, operation: str) -> None:
        body = {"vm": vm, "action": action.value}
        _send_operation("maintenance", body, operation, json=False)

    def move(self, vm: str, pool: str, operation: str = "") -> None:
        """Move a VM to another pool; its tasks are checkpointed and resume on other VMs.

        Args:
            vm: the VM's name in the table.
            pool: the pool's name in the table.
            operation: id of the operation to send again after a lost response.
        """
        table, response = _fetch_table(_client())
        if vm not in table.vms:
            raise RefusedError(Reason.UNKNOWN_ROW, f"no VM {vm} is declared")
        edit = {
            "kind": "vms",
            "name": vm,
            "columns": {**row_columns(table.vms[vm]), "pool": pool},
            "expected_version": response["row_versions"]["vms"][vm],
        }
        _send_operation("changes", {"edits": [edit]}, operation, json=False)


class SettingsCommands:
    """Check settings files."""

    def check(self, file: str) -> None:
        """Check a daemon's settings file, or a table file.

        Args:
            file: a TOML file.
        """
        kind = detect_kind(file)
        if kind == "table":
            load_table(file)
        else:
            load_settings(file, kind)
        print_line(f"{file}: good {kind} file")


class Commands:
    """Manage a fleet's capacity and maintenance from one declared table."""

    def __init__(self) -> None:
        self.table = TableCommands()
        self.key = KeyCommands()
        self.vm = VmCommands()
        self.settings = SettingsCommands()

    def status(self, json: bool = False) -> None:
        """Show the state of the control replicas, the entry VMs and the VMs under maintenance.

        Args:
            json: print JSON.
        """
        profile = load_profile()
        statuses = []
        for address in [*profile.control, *profile.entries]:
            client = OperatorClient(addresses=[address], credential=profile.credential)
            try:
                statuses.append(client.send("GET", "/operator/v1/status"))
            except RefusedError as exc:
                statuses.append({"address": address, "unreachable": exc.detail})
        if json:
            print_json(statuses)
            return
        for status in statuses:
            print_line(_status_line(status))
            for team, share in status.get("team_shares", {}).items():
                print_line(
                    f"  {team}: used {share['used_cores']} of {share['due_cores']} cores due"
                    f" in full pools ({share['attained']:.0%})"
                )

    def explain(self, subject: str, json: bool = False) -> None:
        """Explain why a request or job waits, ran or was refused, and where.

        Args:
            subject: a request id or job id.
            json: print JSON.
        """
        profile = load_profile()
        client = OperatorClient(addresses=profile.entries, credential=profile.credential)
        response = client.send("GET", f"/operator/v1/explain/{subject}")
        if json:
            print_json(response)
            return
        for line in response["lines"]:
            print_line(line)
        if not response["lines"]:
            print_line("nothing is known of it")

    def evacuate(self, data_center: str, json: bool = False) -> None:
        """Start nothing more in a data centre until it is restored; tasks there may end.

        Args:
            data_center: the data centre's name in the table.
            json: print JSON.
        """
        _change_evacuation(data_center, "begin", json)

    def restore(self, data_center: str, json: bool = False) -> None:
        """Withdraw the evacuation of a data centre.

        Args:
            data_center: the data centre's name in the table.
            json: print JSON.
        """
        _change_evacuation(data_center, "finish", json)

    def member(self, id: str, address: str = "", json: bool = False) -> None:
        """Add a control replica, or remove it if no address is given.

        Args:
            id: the id of the replica in its settings.
            address: the link address of the replica.
            json: print JSON.
        """
        body = {"id": id, "address": address or None}
        response = _client().send("POST", "/operator/v1/members", body)
        if json:
            print_json(response)
        else:
            print_line(f"members: {', '.join(sorted(response['members']))}")

    def demo(self, example: str = "examples/brettwerk.toml") -> None:
        """Run all processes on the loopback interface and check the guarantees.

        Args:
            example: a table file with a deployment section.
        """
        configure_logs(level="ERROR")
        if not Path(example).exists():
            raise TableError("no such file", source=example)
        results = trio.run(run_demo, example, print_line)
        for line in results.lines():
            print_line(line)
        print_line(results.summary())
        if not results.all_hold():
            sys.exit(EXIT_REFUSED)

    def serve(self, folder: str, example: str = "examples/brettwerk.toml") -> None:
        """Run a local fleet with stand-in minions until Ctrl-C, to try commands.

        Args:
            folder: an empty folder for the fleet's data and the operator profile.
            example: a table file with a deployment section.
        """
        configure_logs(level="ERROR")
        trio.run(run_serve, example, Path(folder), print_line)


def _status_line(status: dict[str, Any]) -> str:
    if "unreachable" in status:
        return f"{status['address']}: {status['unreachable']}"
    if "replica" in status:
        line = (
            f"{status['replica']}: {status['role']} of term {status['term']}, "
            f"version {status['version']}, index {status['applied_index']}"
        )
        if "vms" not in status:
            return line
        phases = [f"{vm} {phase}" for vm, phase in status["vms"].items() if phase != "in_service"]
        out = ", ".join(phases) or "all VMs in service"
        out += "".join(f", {name} evacuated" for name in status.get("evacuated", {}))
        return f"{line}, {out}"
    return (
        f"{status['entry']}: {'ready' if status['ready'] else 'not ready'}, "
        f"version {status['version']}, {status['calls']} calls, {status['jobs']} jobs"
    )


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands(), name="hornbeamreach")
    except HornbeamreachError as exc:
        exit_with_error(exc)
    except httpcore.ConnectError as exc:
        exit_with_error(RefusedError(Reason.NO_LEADER, str(exc)))


if __name__ == "__main__":
    main()
