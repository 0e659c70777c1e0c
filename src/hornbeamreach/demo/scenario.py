"""The demo: a scenario on a local fleet that prints its steps and checks the promises."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.converters import to_plain
from hornbeamreach.demo.check_results import CheckResults
from hornbeamreach.demo.deployment import sha256
from hornbeamreach.demo.fleet import LocalFleet
from hornbeamreach.demo.observer import Observer
from hornbeamreach.exceptions import HornbeamreachError
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.table_file import edits_between
from hornbeamreach.verdict import Verdict
from hornbeamreach.web.client import AsyncHttpClient, HttpResponse, decode_refusal

HTTP_OK = 200
HTTP_ACCEPTED = 202
CALL_COUNT = 120
JOB_COUNT = 24
LONG_JOB_MS = 4_000
KEY_WITHDRAWAL_MAX_MS = 5_000
DEMO_TIMEOUT_MS = 58_000

OWN_ANSWER = "a caller gets the whole answer to its own request"
AT_MOST_ONCE = "a non-idempotent call runs at most once"
ACCEPTED_JOBS_FINISH = "an accepted job finishes"
KEY_WITHDRAWAL = "a withdrawn key stops within seconds"
CHANGES_IN_FORCE = "an accepted change is in force everywhere"
ONE_RACE_WINNER = "a race of two operators has one winner"
SAME_ANSWER_ON_RESEND = "a resent operation gets its first answer again"
REFUSED_NOT_RUN = "a refusal that says not run is true"
GRACEFUL_SHUTDOWN = "a graceful shutdown cuts off nothing"
LEAVING_ENDPOINT = "a leaving endpoint gets no new work"
VM_RETURNS = "a drained VM reboots and returns"

PrintLine = Callable[[str], None]


class Demo:
    """Run the scenario against a local fleet."""

    def __init__(self, *, fleet: LocalFleet, print_line: PrintLine) -> None:
        self.fleet = fleet
        self.print_line = print_line
        self.results = CheckResults()
        self.observer = Observer(fleet=fleet, results=self.results)
        self.http = AsyncHttpClient()
        self.keys: dict[str, str] = {}
        self.balancer_turn = 0
        self.operation_count = 0

    # Requests

    def next_entry_address(self) -> str:
        """Return the address of the next entry, as a load balancer would choose it."""
        addresses = self.fleet.entry_addresses()
        self.balancer_turn += 1
        return addresses[self.balancer_turn % len(addresses)]

    async def send_operator_request(
        self, path: str, body: dict[str, Any] | None = None
    ) -> HttpResponse:
        """Send an operator's request to the replica that leads.

        Raises:
            HornbeamreachError: no replica leads after ten rounds.
        """
        answer: HttpResponse | None = None
        for _ in range(10):
            for address in self.fleet.control_addresses():
                answer = await self.http.send(
                    "POST" if body is not None else "GET",
                    f"http://{address}/operator/v1/{path}",
                    bearer=self.fleet.secrets.operator,
                    body=body,
                )
                if answer.reason() != "no_leader":
                    return answer
            await trio.sleep(seconds(200))
        raise HornbeamreachError("no control replica leads")

    def new_operation_id(self) -> str:
        """Return an operation id that has not been used before."""
        self.operation_count += 1
        return f"demo-operation-{self.operation_count}"

    async def change(self, body: dict[str, Any], operation_id: str = "") -> HttpResponse:
        """Send a change of rows or keys, under a new operation id unless one is given."""
        return await self.send_operator_request(
            "changes", {"operation_id": operation_id or self.new_operation_id(), **body}
        )

    async def call(
        self, team: str, service: str, body: bytes, *, idempotency_key: str = ""
    ) -> HttpResponse:
        """Send a call to the next entry."""
        headers = {"content-type": "text/plain"}
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        url = f"http://{self.next_entry_address()}/v1/services/{service}/calls"
        return await self.http.send("POST", url, bearer=self.keys[team], headers=headers, body=body)

    def new_idempotency_key(self) -> str:
        """Return an idempotency key that has not been used before."""
        token = f"{self.fleet.rng.getrandbits(48):012x}"
        return f"{self.fleet.clock.wall_ms()}-{token}"

    # Steps

    async def run(self) -> CheckResults:
        """Run every step and return the results of the checks."""
        async with trio.open_nursery() as nursery:
            self.print_line("starting control, entries and platforms of three data centres")
            await self.fleet.start(nursery)
            nursery.start_soon(self.observer.run)
            await self.apply_table()
            await self.grant_keys()
            await self.fleet.start_minions(nursery)
            self.print_line(f"{len(self.fleet.minions)} minions announced themselves")
            await self.make_calls()
            await self.resend_bookings()
            await self.send_refused_calls()
            jobs = await self.submit_jobs()
            await self.drain_under_load()
            await self.finish_jobs(jobs)
            await self.race_operators()
            await self.withdraw_key()
            await self.announce_minion_leaving()
            await self.shut_entry_down()
            nursery.cancel_scope.cancel()
        return self.results

    async def apply_table(self) -> None:
        """Apply the example's table and check that it is in force at every entry."""
        table = self.fleet.plan.table
        edits = to_plain(edits_between(DeclaredTable(), table, {}))
        answer = await self.change({"edits": edits})
        self._require_accepted(answer, "table apply")
        accepted = answer.json()
        for name in self.fleet.entries:
            index = self.fleet.entry_node(name).replayed_state.index()
            self.results.check(
                CHANGES_IN_FORCE, index >= accepted["index"], f"{name} is at {index}"
            )
        self.print_line(
            f"the table of {len(edits)} rows is accepted as version {accepted['version']}"
        )

    def _require_accepted(self, answer: HttpResponse, action: str) -> None:
        if answer.status >= 400:  # noqa: PLR2004
            raise HornbeamreachError(f"{action} was refused: {decode_refusal(answer)}")

    async def grant_keys(self) -> None:
        """Grant a key to every team; control receives only the hashes."""
        edits = []
        for team in self.fleet.plan.table.teams:
            self.keys[team] = f"{self.fleet.rng.getrandbits(128):032x}"
            edits.append({"key_hash": sha256(self.keys[team]), "team": team, "key_id": "demo"})
        self._require_accepted(await self.change({"key_edits": edits}), "key grant")
        self.print_line(f"granted {len(edits)} keys")

    async def make_calls(self) -> None:
        """Call an idempotent service from all teams concurrently."""
        service = self._first_service(idempotent=True)
        start_ms = self.fleet.clock.now_ms()
        async with trio.open_nursery() as nursery:
            for number in range(CALL_COUNT):
                nursery.start_soon(self._check_call, service, number)
        took_ms = self.fleet.clock.now_ms() - start_ms
        ran = self._count_executions_with_prefix(b"request")
        self.print_line(f"{CALL_COUNT} calls to {service} in {took_ms} ms; {ran} ran")

    def _first_service(self, *, idempotent: bool) -> str:
        services = self.fleet.plan.table.services
        return next(name for name, row in services.items() if row.idempotent is idempotent)

    async def _check_call(self, service: str, number: int) -> None:
        teams = sorted(self.keys)
        body = f"request {number}".encode()
        answer = await self.call(teams[number % len(teams)], service, body)
        matches = answer.status == HTTP_OK and answer.json()["body"].encode() == body
        self.results.check(OWN_ANSWER, matches, f"{number}: {answer.status} {answer.body[:120]!r}")

    async def resend_bookings(self) -> None:
        """Send each non-idempotent call to three entries, to the first two concurrently."""
        service = self._first_service(idempotent=False)
        teams = sorted(self.keys)
        for number in range(12):
            team, key = teams[number % len(teams)], self.new_idempotency_key()
            body = f"booking {number}".encode()
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(self._send_booking, team, service, body, key)
            answer = await self._send_booking(team, service, body, key)
            matches = answer.status == HTTP_OK and answer.json()["body"].encode() == body
            self.results.check(
                OWN_ANSWER, matches, f"{number}: {answer.status} {answer.body[:120]!r}"
            )
            runs = self._count_executions(body)
            self.results.check(AT_MOST_ONCE, runs == 1, f"booking {number} ran {runs} times")
        ran = self._count_executions_with_prefix(b"booking")
        self.print_line(f"12 calls to {service} were each sent 3 times; {ran} ran")

    async def _send_booking(self, team: str, service: str, body: bytes, key: str) -> HttpResponse:
        return await self.call(team, service, body, idempotency_key=key)

    def _count_executions(self, body: bytes) -> int:
        return sum(
            1
            for minion in self.fleet.minions.values()
            for execution in minion.executions
            if execution.body == body
        )

    def _count_executions_with_prefix(self, prefix: bytes) -> int:
        return sum(
            1
            for minion in self.fleet.minions.values()
            for execution in minion.executions
            if execution.body.startswith(prefix)
        )

    async def send_refused_calls(self) -> None:
        """Send calls that must be refused, and check that none of them runs."""
        service = self._first_service(idempotent=True)
        url = f"http://{self.next_entry_address()}/v1/services/{service}/calls"
        attempts = {
            "no key": await self.http.send("POST", url, body=b"stranger"),
            "unknown key": await self.http.send("POST", url, bearer="x" * 32, body=b"stranger"),
            "unknown service": await self.call(
                sorted(self.keys)[0], "no-such-service", b"stranger"
            ),
        }
        for case, answer in attempts.items():
            refused = answer.verdict() is Verdict.NOT_RUN
            self.results.check(REFUSED_NOT_RUN, refused, f"{case}: {answer.status}")
        runs = self._count_executions(b"stranger")
        self.results.check(REFUSED_NOT_RUN, runs == 0, f"a refused call ran {runs} times")
        reasons = ", ".join(answer.reason() for answer in attempts.values())
        self.print_line(f"refused without running: {reasons}")

    async def submit_jobs(self) -> list[tuple[str, str]]:
        """Submit jobs to every queue, and return their teams and ids."""
        jobs = []
        teams, queues = sorted(self.keys), sorted(self.fleet.plan.table.queues)
        for number in range(JOB_COUNT):
            team, queue = teams[number % len(teams)], queues[number % len(queues)]
            work_ms = LONG_JOB_MS if number % 3 == 0 else 300
            body = {
                "kind": "demo",
                "cpu_millis": 2_000,
                "memory_mb": 2_048,
                "expected_ms": work_ms,
                "idempotent": number % 2 == 0,
                "payload": f"team={team} work_ms={work_ms}",
            }
            url = f"http://{self.next_entry_address()}/v1/queues/{queue}/jobs"
            headers = {"idempotency-key": self.new_idempotency_key()}
            answer = await self.http.send(
                "POST", url, bearer=self.keys[team], headers=headers, body=body
            )
            self._require_accepted(answer, "submit")
            jobs.append((team, answer.json()["job_id"]))
        self.print_line(f"{len(jobs)} jobs accepted in {len(queues)} queues")
        return jobs

    async def drain_under_load(self) -> None:
        """Drain two VMs of a pool whose availability budget is one VM, while calls continue."""
        table = self.fleet.plan.table
        service = self._first_service(idempotent=True)
        pool = table.services[service].pool
        vms = table.vms_of_pool(pool)[:2]
        for vm in vms:
            body = {"operation_id": self.new_operation_id(), "vm": vm, "action": "reboot"}
            self._require_accepted(
                await self.send_operator_request("maintenance", body), "vm drain"
            )
        self.print_line(
            f"ordered reboots of {' and '.join(vms)}; pool {pool} may miss one VM at a time"
        )
        done = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call_until, service, done)
            for vm in vms:
                took_ms = await self.fleet.wait_until(
                    lambda vm=vm: self._is_maintained(vm), f"{vm} is maintained", timeout_ms=30_000
                )
                self.results.check(VM_RETURNS, True)
                self.print_line(f"{vm} drained, rebooted and returned (waited {took_ms} ms more)")
            done.set()

    def _is_maintained(self, vm: str) -> bool:
        data_center = self.fleet.plan.table.vms[vm].data_center
        rebooted = bool(self.fleet.platforms[data_center].vms[vm].reboot_times_ms)
        return rebooted and self.observer.phases().get(vm) is VmPhase.IN_SERVICE

    async def _call_until(self, service: str, done: trio.Event) -> None:
        number = 1_000
        while not done.is_set():
            number += 1
            await self._check_call(service, number)
            await trio.sleep(seconds(10))

    async def finish_jobs(self, jobs: list[tuple[str, str]]) -> None:
        """Wait for every job and fetch its result from the next entry."""
        finished = 0
        for team, job_id in jobs:
            answer = await self._fetch_result(team, job_id)
            matches = answer.status == HTTP_OK and job_id in answer.body.decode()
            detail = f"{job_id}: {answer.status} {answer.body[:160]!r}"
            self.results.check(ACCEPTED_JOBS_FINISH, matches, detail)
            finished += matches
        starts = [
            count
            for platform in self.fleet.platforms.values()
            for count in platform.starts.values()
        ]
        self.results.check(AT_MOST_ONCE, max(starts, default=0) <= 1, "a task was started twice")
        self.print_line(f"{finished} of {len(jobs)} jobs finished and their results were fetched")

    async def _fetch_result(self, team: str, job_id: str) -> HttpResponse:
        for _ in range(100):
            url = f"http://{self.next_entry_address()}/v1/jobs/{job_id}/result"
            answer = await self.http.send("GET", url, bearer=self.keys[team])
            if answer.reason() != "job_not_finished":
                break
            await trio.sleep(seconds(100))
        return answer

    async def race_operators(self) -> None:
        """Change a row from two operators that expect the same version, and resend both changes."""
        table = (await self.send_operator_request("table")).json()
        team = sorted(self.fleet.plan.table.teams)[0]
        version = table["row_versions"]["teams"][team]
        answers: dict[str, HttpResponse] = {}

        async def edit(operation_id: str, weight: float) -> None:
            columns = {**table["table"]["teams"][team], "weight": weight}
            edit = {
                "kind": "teams",
                "name": team,
                "columns": columns,
                "expected_version": version,
            }
            answers[operation_id + str(weight)] = await self.change({"edits": [edit]}, operation_id)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(edit, "race-operation-one", 31.0)
            nursery.start_soon(edit, "race-operation-two", 32.0)
        accepted = [name for name, answer in answers.items() if answer.status == HTTP_OK]
        self.results.check(ONE_RACE_WINNER, len(accepted) == 1, f"{len(accepted)} were accepted")
        first = dict(answers)
        await edit("race-operation-one", 31.0)
        await edit("race-operation-two", 32.0)
        for name, answer in answers.items():
            same = answer.status == first[name].status
            self.results.check(
                SAME_ANSWER_ON_RESEND, same, f"{first[name].status} then {answer.status}"
            )
        self.print_line(
            f"two operators raced: {len(accepted)} won; both sent their operations again"
        )

    async def withdraw_key(self) -> None:
        """Withdraw a key and check that every entry refuses it."""
        team = sorted(self.keys)[-1]
        service = self._first_service(idempotent=True)
        start_ms = self.fleet.clock.now_ms()
        edit = {"key_hash": sha256(self.keys[team]), "withdraw": True}
        self._require_accepted(await self.change({"key_edits": [edit]}), "key withdraw")
        took_ms = self.fleet.clock.now_ms() - start_ms
        for address in self.fleet.entry_addresses():
            url = f"http://{address}/v1/services/{service}/calls"
            answer = await self.http.send("POST", url, bearer=self.keys[team], body=b"late")
            refused = answer.reason() == "unknown_key"
            self.results.check(KEY_WITHDRAWAL, refused, f"{address} answered {answer.status}")
        self.results.check(KEY_WITHDRAWAL, took_ms < KEY_WITHDRAWAL_MAX_MS, f"it took {took_ms} ms")
        self.results.check(
            KEY_WITHDRAWAL, self._count_executions(b"late") == 0, "a call ran after that"
        )
        del self.keys[team]
        self.print_line(f"the key of {team} was withdrawn everywhere in {took_ms} ms")

    async def announce_minion_leaving(self) -> None:
        """Announce that a minion is leaving, and check that it receives no new calls."""
        service = self._first_service(idempotent=True)
        minion = self.fleet.minions[f"{service}-1"]
        minion.leaving = True
        await minion.announce_once()
        await trio.sleep(seconds(2_000))
        before = len(minion.executions)
        async with trio.open_nursery() as nursery:
            for number in range(2_000, 2_060):
                nursery.start_soon(self._check_call, service, number)
        received = len(minion.executions) - before
        self.results.check(
            LEAVING_ENDPOINT, received == 0, f"{minion.endpoint} got {received} calls"
        )
        self.print_line(
            f"{minion.endpoint} announced that it leaves and got {received} of 60 calls"
        )

    async def shut_entry_down(self) -> None:
        """Shut an entry down with calls in flight, and check that all of them are answered."""
        service = self._first_service(idempotent=True)
        name = sorted(self.fleet.entries)[0]
        data_center = self.fleet.plan.entries[name].process.data_center
        for minion in self.fleet.minions.values():
            minion.behaviour.work_ms = 400
        address = self.fleet.plan.entries[name].process.http_address
        team = sorted(self.keys)[0]
        answers: list[HttpResponse] = []

        async def call(number: int) -> None:
            url = f"http://{address}/v1/services/{service}/calls"
            body = f"graceful {number}".encode()
            answer = await self.http.send("POST", url, bearer=self.keys[team], body=body)
            answers.append(answer)

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(call, number)
            await trio.sleep(seconds(150))
            self.fleet.entries[name].stop.set()
        for answer in answers:
            self.results.check(GRACEFUL_SHUTDOWN, answer.status == HTTP_OK, f"got {answer.status}")
        await self.fleet.wait_until(
            self.fleet.entries[name].ended.is_set, f"{name} has ended", timeout_ms=15_000
        )
        await self._check_call(service, 3_000)
        answered = sum(answer.status == HTTP_OK for answer in answers)
        self.print_line(
            f"{name} of {data_center} shut down with 6 calls in flight; {answered} answered"
        )


async def run_demo(example: str | Path, print_line: PrintLine) -> CheckResults:
    """Run the demo on an example file and return the results of its checks."""
    with tempfile.TemporaryDirectory(prefix="hornbeamreach-demo-") as folder:
        fleet = LocalFleet(example=example, data_folder=folder, clock=Clock())
        demo = Demo(fleet=fleet, print_line=print_line)
        with trio.fail_after(seconds(DEMO_TIMEOUT_MS)):
            return await demo.run()
