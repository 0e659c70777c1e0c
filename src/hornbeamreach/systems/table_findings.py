"""Errors and contradictions of a table that was read from a file and is not in force yet.

Each finder is a pure function that yields one kind of finding, registered under its name.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from attrs import define

from hornbeamreach.converters import structuring_errors
from hornbeamreach.registry import Registry
from hornbeamreach.tables.control_state import KeyRow
from hornbeamreach.tables.declared import MAX_COUNT, DeclaredTable, PoolRow, QueueRow
from hornbeamreach.tables.table_file import inconsistencies

BUDGET_COLUMNS = ("max_down", "max_down_per_data_center", "max_down_per_rack")


class Severity(enum.Enum):
    """List how a finding affects the change: control refuses errors and accepts warnings."""

    ERROR = "error"
    WARNING = "warning"


@define(frozen=True, kw_only=True)
class Finding:
    """Represent one finding; `row` or `column` is empty where it concerns more than one."""

    severity: Severity
    table: str
    row: str
    column: str
    text: str

    def describe(self) -> str:
        """Return the finding as one line of text."""
        path = ".".join(part for part in (self.table, self.row, self.column) if part)
        return f"{self.severity.value}: {path}: {self.text}"


@define(frozen=True, kw_only=True)
class CheckedTable:
    """Hold a table whose rows could be read, and what is known of the version in force."""

    table: DeclaredTable
    # Keys in force; empty if no control replica replied.
    keys: tuple[KeyRow, ...] = ()

    def users_of_pool(self, pool: str) -> list[tuple[str, str]]:
        """Return the kinds and names of the queues and services that use a pool."""
        return [
            (kind, name)
            for kind in ("queues", "services")
            for name, row in self.table.rows(kind).items()
            if row.pool == pool
        ]


Finder = Callable[[CheckedTable], Iterator[Finding]]
finders: Registry[Finder] = Registry("table finding")


def find_unreadable_rows(data: dict[str, Any]) -> list[Finding]:
    """Return an error for each invalid, missing or unknown key of a table's plain data."""
    findings = []
    for error in structuring_errors(data, DeclaredTable):
        table, row, column = (*error.location, "", "", "")[:3]
        findings.append(_error(table, row, column, error.message))
    return findings


def find_all(checked: CheckedTable) -> list[Finding]:
    """Return the findings of all finders, errors first, then by row."""
    findings = [finding for name in finders for finding in finders.get(name)(checked)]
    return sorted(findings, key=_sort_key)


def _sort_key(finding: Finding) -> tuple[bool, str, str, str, str]:
    is_warning = finding.severity is not Severity.ERROR
    return is_warning, finding.table, finding.row, finding.column, finding.text


def _error(table: str, row: str, column: str, text: str) -> Finding:
    return Finding(severity=Severity.ERROR, table=table, row=row, column=column, text=text)


def _warning(table: str, row: str, column: str, text: str) -> Finding:
    return Finding(severity=Severity.WARNING, table=table, row=row, column=column, text=text)


# Errors


@finders.register("inconsistent_row")
def find_inconsistent_rows(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the invalid names and dangling references for which control refuses a table."""
    for found in inconsistencies(checked.table):
        yield _error(found.kind, found.name, found.column, found.message)


# Rows that can never match


@finders.register("pool_without_vms")
def find_pools_without_vms(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the queues and services whose pool has no VM that could serve them."""
    for pool, row in checked.table.pools.items():
        if row.standby:
            text = f"the VMs of pool {pool} are off, because it is on standby"
        elif not checked.table.vms_of_pool(pool):
            text = f"pool {pool} has no VM of its own"
        else:
            continue
        for kind, name in checked.users_of_pool(pool):
            yield _warning(kind, name, "pool", text)


@finders.register("unused_pool")
def find_unused_pools(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the pools whose VMs no queue or service uses and that lend none."""
    for pool, row in checked.table.pools.items():
        vms = checked.table.vms_of_pool(pool)
        if vms and not (row.spare or row.standby or checked.users_of_pool(pool)):
            text = f"no queue or service uses the pool's VMs ({len(vms)}), and it lends none"
            yield _warning("pools", pool, "", text)


@finders.register("unreachable_route")
def find_unreachable_routes(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the queues whose host and path prefix match no call."""
    for name, row in checked.table.queues.items():
        if row.host != row.host.lower():
            text = "matches no call, because hosts are compared in lower case"
            yield _warning("queues", name, "host", text)
        if row.path_prefix and not row.path_prefix.startswith("/"):
            text = f"{row.path_prefix!r} matches no path, because paths begin with '/'"
            yield _warning("queues", name, "path_prefix", text)
        elif row.path_prefix and not row.host:
            yield _warning("queues", name, "path_prefix", "matches no call without a host")


@finders.register("duplicate_route")
def find_duplicate_routes(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the queues that have the host and path prefix of an earlier one."""
    first: dict[tuple[str, str], str] = {}
    for name, row in checked.table.queues.items():
        if row.host:
            earlier = first.setdefault((row.host, row.path_prefix), name)
            if earlier != name:
                text = f"queue {earlier} has the same host and path prefix; only one gets calls"
                yield _warning("queues", name, "path_prefix", text)


@finders.register("key_without_team")
def find_keys_without_team(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the keys in force that the table withdraws, because their team has no row."""
    for key in checked.keys:
        if key.team not in checked.table.teams:
            text = f"key {key.key_id} is in force and would be withdrawn with the team's row"
            yield _warning("teams", key.team, "", text)


# Limits that contradict each other


@finders.register("team_at_zero")
def find_teams_at_zero(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the teams whose limit is below one call or task."""
    for name, row in checked.table.teams.items():
        if not row.max_running:
            open_queues = [
                queue
                for queue, queue_row in checked.table.queues.items()
                if queue_row.open and queue_row.open_team == name
            ]
            text = "no call or task of the team can run"
            if open_queues:
                text += f"; it is the team of the open queues {', '.join(open_queues)}"
            yield _warning("teams", name, "max_running", text)


@finders.register("budget_without_effect")
def find_budgets_without_effect(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the budgets of a rack or data centre above the budget of what contains it."""
    for name, row in checked.table.pools.items():
        wider_column, lowest = BUDGET_COLUMNS[0], row.max_down
        for column in BUDGET_COLUMNS[1:]:
            budget = getattr(row, column)
            if lowest < budget < MAX_COUNT:
                text = f"{budget} has no effect above {wider_column} {lowest}"
                yield _warning("pools", name, column, text)
            if budget < lowest:
                wider_column, lowest = column, budget


@finders.register("no_maintenance")
def find_pools_without_maintenance(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the pools whose regular reboots are due but are never allowed."""
    for name, row in checked.table.pools.items():
        if not row.maintenance_interval_ms or not checked.table.vms_of_pool(name):
            continue
        for column in BUDGET_COLUMNS:
            if not getattr(row, column):
                text = "0 allows no reboot, but maintenance_interval_ms asks for them"
                yield _warning("pools", name, column, text)


@finders.register("slow_maintenance")
def find_slow_maintenance(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the pools whose VMs can't all be rebooted within the maintenance interval."""
    for name, row in checked.table.pools.items():
        vms = len(checked.table.vms_of_pool(name))
        at_once = vms_out_at_once(checked.table, name, row)
        if not at_once or not row.maintenance_interval_ms:
            continue
        least_ms = vms * row.probation_ms // at_once
        if least_ms > row.maintenance_interval_ms:
            text = f"{vms} VMs, {at_once} at a time, are in probation for {least_ms} ms"
            yield _warning("pools", name, "maintenance_interval_ms", text)


@finders.register("pool_out_at_once")
def find_pools_out_at_once(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the pools in use whose budgets allow every VM to be out of service at once."""
    for name, row in checked.table.pools.items():
        vms = len(checked.table.vms_of_pool(name))
        # A single VM can only be maintained alone, so its budget is no mistake.
        if vms < 2 or not checked.users_of_pool(name):
            continue
        if vms_out_at_once(checked.table, name, row) == vms:
            text = f"the budgets allow all {vms} VMs of the pool to be out of service at once"
            yield _warning("pools", name, "max_down", text)


def vms_out_at_once(table: DeclaredTable, pool: str, row: PoolRow) -> int:
    """Return how many VMs of a pool may be out of service at once by all of its budgets."""
    vms = [vm for vm in table.vms.values() if vm.pool == pool]
    by_data_center: Counter[str] = Counter()
    for (data_center, _), count in Counter((vm.data_center, vm.rack) for vm in vms).items():
        by_data_center[data_center] += min(count, row.max_down_per_rack)
    by_budget = (min(count, row.max_down_per_data_center) for count in by_data_center.values())
    return min(row.max_down, sum(by_budget))


@finders.register("unreachable_target")
def find_unreachable_targets(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the queues whose step jobs may take less time than their own work takes."""
    for name, row in checked.table.queues.items():
        if row.slack_factor < 1 and not row.target_latency_ms:
            text = "below 1 with a target_latency_ms of 0 makes every step job late"
            yield _warning("queues", name, "slack_factor", text)


@finders.register("unused_advice")
def find_unused_advice(checked: CheckedTable) -> Iterator[Finding]:
    """Yield the queues that declare times of an admission service that they don't need."""
    for name, row in checked.table.queues.items():
        if _has_advice_times(row) and not row.advice_valid_ms:
            text = "0 means that the queue needs no ticket, but times of one are declared"
            yield _warning("queues", name, "advice_valid_ms", text)


def _has_advice_times(row: QueueRow) -> bool:
    return bool(row.advice_decide_ms or row.advice_each_ms)
