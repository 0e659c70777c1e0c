"""Operators' HTTP API of a control replica."""

from __future__ import annotations

import hashlib
import hmac
import re
from typing import Any

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hornbeamreach.clock import Clock
from hornbeamreach.control import commands
from hornbeamreach.control.leader import Leader
from hornbeamreach.control.replica import Replica
from hornbeamreach.control.snapshots import state_digest
from hornbeamreach.control.state_machine import Outcome
from hornbeamreach.control.workload_commands import BeginEvacuation, EndEvacuation
from hornbeamreach.converters import structure, to_plain
from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.tables.control_state import Change, KeyEdit, OrderAction
from hornbeamreach.tables.declared import RowEdit
from hornbeamreach.tables.table_file import row_from_dict
from hornbeamreach.verdict import Reason
from hornbeamreach.web.problems import (
    HTTP_OK,
    bearer_token,
    handle_refusals,
    json_response,
    problem_response,
    read_json,
)

log = part_logger("operators")

MAX_OPERATOR_BODY_BYTES = 8 * 1024 * 1024
OPERATION_ID_PATTERN = re.compile(r"^[A-Za-z0-9._-]{8,128}$")
KEY_HASH_PATTERN = re.compile(r"^[0-9a-f]{64}$")
HTTP_UNAVAILABLE = 503
EVACUATION_COMMANDS = {"begin": BeginEvacuation, "finish": EndEvacuation}


class OperatorApi:
    """Serve the operators' API; only the leader accepts changes and linearizable reads."""

    def __init__(
        self,
        *,
        replica: Replica,
        leader: Leader,
        clock: Clock,
        metrics: Metrics,
        credential_sha256: str,
    ) -> None:
        self.replica = replica
        self.leader = leader
        self.clock = clock
        self.metrics = metrics
        self.credential_sha256 = credential_sha256

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        guard = handle_refusals("operator", self.metrics)
        return Starlette(
            routes=[
                Route("/operator/v1/table", guard(self.show_table), methods=["GET"]),
                Route("/operator/v1/changes", guard(self.change_table), methods=["POST"]),
                Route("/operator/v1/maintenance", guard(self.order_maintenance), methods=["POST"]),
                Route("/operator/v1/evacuations", guard(self.change_evacuation), methods=["POST"]),
                Route("/operator/v1/members", guard(self.change_members), methods=["POST"]),
                Route("/operator/v1/status", guard(self.status), methods=["GET"]),
                Route("/healthz", self.healthz, methods=["GET"]),
                Route("/readyz", self.readyz, methods=["GET"]),
                Route("/metrics", self.render_metrics, methods=["GET"]),
            ]
        )

    def authenticate(self, request: Request) -> None:
        """Raise RefusedError unless the request carries the operators' credential."""
        digest = hashlib.sha256((bearer_token(request) or "").encode()).hexdigest()
        if not hmac.compare_digest(digest, self.credential_sha256):
            raise RefusedError(Reason.BAD_CREDENTIAL, "the operators' credential is needed")

    async def show_table(self, request: Request) -> Response:
        """Return the whole table with the versions of its rows."""
        self.authenticate(request)
        self.leader.require_leader()
        await self.replica.confirm_leadership()
        state = self.replica.state
        return json_response(
            {
                "version": state.version,
                "table": state.table,
                "row_versions": state.row_versions,
                "keys": [
                    {"team": key.team, "key_id": key.key_id, "key_hash": key_hash}
                    for key_hash, key in state.keys.items()
                ],
            }
        )

    async def change_table(self, request: Request) -> Response:
        """Change rows and keys atomically."""
        self.authenticate(request)
        body = await read_json(request, MAX_OPERATOR_BODY_BYTES)
        operation_id = _parse_operation_id(body)
        change = parse_change(body)
        command = commands.PrepareChange(
            operation_id=operation_id,
            digest=content_digest(change),
            change=change,
            at_ms=self.clock.wall_ms(),
        )
        return _outcome_response(operation_id, await self.leader.change_coordinator.submit(command))

    async def order_maintenance(self, request: Request) -> Response:
        """Order a VM out of service or back."""
        self.authenticate(request)
        body = await read_json(request, MAX_OPERATOR_BODY_BYTES)
        operation_id = _parse_operation_id(body)
        vm, action = str(body.get("vm", "")), _parse_order_action(body)
        self.leader.require_leader()
        outcome = await self.replica.propose(
            commands.OrderMaintenance(
                operation_id=operation_id,
                digest=content_digest([vm, action.value]),
                vm=vm,
                action=action,
                at_ms=self.clock.wall_ms(),
            )
        )
        return _outcome_response(operation_id, outcome)

    async def change_evacuation(self, request: Request) -> Response:
        """Evacuate a data centre, or withdraw that; a repeat changes nothing."""
        self.authenticate(request)
        body = await read_json(request, MAX_OPERATOR_BODY_BYTES)
        data_center, action = str(body.get("data_center", "")), body.get("action")
        if action not in EVACUATION_COMMANDS:
            known = ", ".join(EVACUATION_COMMANDS)
            raise RefusedError(Reason.MALFORMED, f"action: give one of {known}")
        self.leader.require_leader()
        await self.replica.confirm_leadership()
        state = self.replica.state
        if data_center not in {*state.table.data_centers(), *state.workload.evacuated}:
            raise RefusedError(Reason.UNKNOWN_ROW, f"no VM is declared in {data_center!r}")
        command = EVACUATION_COMMANDS[action]
        await self.replica.propose(command(data_center=data_center, at_ms=self.clock.wall_ms()))
        since_ms = self.replica.state.workload.evacuated.get(data_center)
        log.bind(data_center=data_center, action=action, since_ms=since_ms).info("evacuation")
        return json_response({"data_center": data_center, "evacuated_since_ms": since_ms})

    async def change_members(self, request: Request) -> Response:
        """Add or remove one control replica."""
        self.authenticate(request)
        body = await read_json(request, MAX_OPERATOR_BODY_BYTES)
        members = self.replica.members()
        replica_id, address = str(body.get("id", "")), body.get("address")
        if address is None:
            if members.pop(replica_id, None) is None:
                raise RefusedError(Reason.UNKNOWN_ROW, f"no replica {replica_id!r}")
        else:
            members[replica_id] = str(address)
        self.leader.require_leader()
        await self.replica.change_members(members)
        return json_response({"members": members})

    async def status(self, request: Request) -> Response:
        """Return this replica's status; any replica answers."""
        self.authenticate(request)
        return json_response(self.describe())

    def describe(self) -> dict[str, Any]:
        """Return this replica's status as plain data."""
        state, core = self.replica.state, self.replica.core
        now_ms = self.clock.now_ms()
        sessions = {
            f"{holder.entry_id}/{holder.incarnation}": {
                "live": session.is_live(now_ms),
                "applied_index": session.applied_index,
                "renewed_ms_ago": now_ms - session.renewed_ms,
            }
            for holder, session in self.leader.session_table.sessions.items()
            if holder.incarnation in state.grants.get(holder.entry_id, {})
        }
        return {
            "replica": self.replica.node_id,
            "role": core.role.value,
            "leader": core.leader,
            "term": core.term,
            "members": self.replica.members(),
            "applied_index": state.applied_index,
            "version": state.version,
            "digest": state_digest(state),
            "sessions": sessions if self.replica.is_leader() else {},
            "vms": {vm: vm_state.phase.value for vm, vm_state in state.vm_states.items()},
            "orders": {vm: order.action.value for vm, order in state.orders.items()},
            "evacuated": dict(sorted(state.workload.evacuated.items())),
            "prepared": sorted(state.prepared),
            "granted": {
                team: {"limit": row.max_running, "granted": state.granted_total(team)}
                for team, row in state.table.teams.items()
            },
        }

    async def healthz(self, request: Request) -> Response:
        """Return whether the process can continue; it can't after a storage failure."""
        failure = self.replica.storage.failure
        if failure is not None:
            return json_response({"healthy": False, "why": str(failure)}, status=HTTP_UNAVAILABLE)
        return json_response({"healthy": True})

    async def readyz(self, request: Request) -> Response:
        """Return whether this replica leads or knows the leader."""
        leader = self.replica.core.leader
        status = HTTP_OK if leader else HTTP_UNAVAILABLE
        return json_response({"ready": bool(leader), "leader": leader}, status=status)

    async def render_metrics(self, request: Request) -> Response:
        """Render the process's metrics."""
        self.metrics.gauge("control_applied_index", self.replica.state.applied_index)
        self.metrics.gauge("control_is_leader", int(self.replica.is_leader()))
        evacuated = self.replica.state.workload.evacuated
        self.metrics.gauge("evacuated_data_centers", len(evacuated))
        content, headers = self.metrics.render(request.headers.getlist("accept"))
        return Response(content, headers=headers)


def _parse_operation_id(body: dict[str, Any]) -> str:
    operation_id = body.get("operation_id", "")
    if not isinstance(operation_id, str) or not OPERATION_ID_PATTERN.match(operation_id):
        detail = "operation_id: give 8 to 128 of A-Z, a-z, 0-9, '.', '_', '-'"
        raise RefusedError(Reason.MALFORMED, detail)
    return operation_id


def _parse_order_action(body: dict[str, Any]) -> OrderAction:
    try:
        return OrderAction(body.get("action"))
    except ValueError:
        known = ", ".join(action.value for action in OrderAction)
        raise RefusedError(Reason.MALFORMED, f"action: give one of {known}") from None


def parse_change(body: dict[str, Any]) -> Change:
    """Return the change in a request body, validated before anything is replicated.

    Raises InvalidInputError.
    """
    content = {key: body.get(key, []) for key in ("edits", "key_edits")}
    for key, value in content.items():
        if not isinstance(value, list):
            raise InvalidInputError("not a list", path=key)
    unknown_keys = body.keys() - {"operation_id", "edits", "key_edits"}
    if unknown_keys:
        raise InvalidInputError("unknown key", path=sorted(unknown_keys)[0])
    edits = [_parse_edit(edit) for edit in content["edits"]]
    key_edits = structure(content["key_edits"], list[KeyEdit], error=InvalidInputError)
    for key in key_edits:
        if not KEY_HASH_PATTERN.match(key.key_hash):
            raise InvalidInputError("not a SHA-256 in lower-case hex", path="key_edits.key_hash")
    if not edits and not key_edits:
        raise InvalidInputError("the change is empty")
    return Change(edits=edits, key_edits=key_edits)


def _parse_edit(edit: Any) -> RowEdit:
    if not isinstance(edit, dict):
        raise InvalidInputError("an edit is not an object", path="edits")
    columns = edit.get("columns")
    if columns is not None and not isinstance(columns, dict):
        raise InvalidInputError("columns is not an object", path="edits.columns")
    plain = {key: value for key, value in edit.items() if key != "columns"}
    parsed_edit = structure({**plain, "columns": None}, RowEdit, error=InvalidInputError)
    if columns is None:
        return parsed_edit
    # The columns' defaults are filled in, so that every replica stores the same row.
    row = row_from_dict(parsed_edit.kind, parsed_edit.name, columns)
    return RowEdit(
        kind=parsed_edit.kind,
        name=parsed_edit.name,
        columns=to_plain(row),
        expected_version=parsed_edit.expected_version,
    )


def content_digest(content: Any) -> str:
    """Return a digest to distinguish a resent operation from a reused operation id."""
    return hashlib.sha256(orjson.dumps(to_plain(content), option=orjson.OPT_SORT_KEYS)).hexdigest()


def _outcome_response(operation_id: str, outcome: Outcome) -> Response:
    if outcome.accepted:
        return json_response(
            {
                "operation_id": operation_id,
                "accepted": True,
                "version": outcome.version,
                "index": outcome.index,
            }
        )
    assert outcome.reason is not None
    return problem_response(RefusedError(outcome.reason, outcome.detail))
