"""The demo: the whole path on loopback, told as it goes, with its promises checked."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from hornbeamreach.clock import Clock, seconds
from hornbeamreach.converters import to_plain
from hornbeamreach.demo.deployment import sha256
from hornbeamreach.demo.fleet import LocalFleet
from hornbeamreach.demo.ledger import Ledger
from hornbeamreach.demo.observer import Observer
from hornbeamreach.exceptions import HornbeamreachError
from hornbeamreach.tables.control_state import VmPhase
from hornbeamreach.tables.declared import DeclaredTable
from hornbeamreach.tables.table_file import edits_between
from hornbeamreach.verdict import Verdict
from hornbeamreach.web.client import AsyncHttpClient, HttpResponse, decode_refusal

HTTP_OK = 200
HTTP_ACCEPTED = 202
CALLS = 120
JOBS = 24
LONG_JOB_MS = 4_000
WITHDRAWN_WITHIN_MS = 5_000
DEMO_TIMEOUT_MS = 58_000

ANSWERS = "a caller gets the whole answer to its own request"
ONCE = "a non-idempotent call runs at most once"
JOBS_FINISH = "an accepted job finishes"
KEYS = "a withdrawn key stops within seconds"
IN_FORCE = "an accepted change is in force everywhere"
RACE = "a race of two operators has one winner"
RESEND = "a resent operation gets its first answer again"
NOT_RUN = "a refusal that says not run is true"
GRACEFUL = "a graceful shutdown cuts off nothing"
LEAVING = "a leaving endpoint gets no new work"
MAINTAINED = "a drained VM reboots and returns"

Say = Callable[[str], None]


class Demo:
    """Run the scenario against a local fleet."""

    def __init__(self, *, fleet: LocalFleet, say: Say) -> None:
        self.fleet = fleet
        self.say = say
        self.ledger = Ledger()
        self.observer = Observer(fleet=fleet, ledger=self.ledger)
        self.http = AsyncHttpClient()
        self.keys: dict[str, str] = {}
        self.turn = 0
        self.operations = 0

    # Requests

    def balancer(self) -> str:
        """Return the next entry VM that a platform's balancer would choose."""
        addresses = self.fleet.entry_addresses()
        self.turn += 1
        return addresses[self.turn % len(addresses)]

    async def operate(self, path: str, body: dict[str, Any] | None = None) -> HttpResponse:
        """Send an operator's request to whichever replica leads."""
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

    def operation_id(self) -> str:
        """Return a new operation id."""
        self.operations += 1
        return f"demo-operation-{self.operations}"

    async def change(self, body: dict[str, Any], operation_id: str = "") -> HttpResponse:
        """Send a change of rows or keys."""
        return await self.operate(
            "changes", {"operation_id": operation_id or self.operation_id(), **body}
        )

    async def call(
        self, team: str, service: str, body: bytes, *, idempotency_key: str = ""
    ) -> HttpResponse:
        """Send a call through the balancer."""
        headers = {"content-type": "text/plain"}
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        url = f"http://{self.balancer()}/v1/services/{service}/calls"
        return await self.http.send("POST", url, bearer=self.keys[team], headers=headers, body=body)

    def new_idempotency_key(self) -> str:
        """Return a new idempotency key."""
        token = f"{self.fleet.rng.getrandbits(48):012x}"
        return f"{self.fleet.clock.wall_ms()}-{token}"

    # Steps

    async def run(self) -> Ledger:
        """Run every step."""
        async with trio.open_nursery() as nursery:
            self.say("starting control, entries and platforms of three data centres")
            await self.fleet.start(nursery)
            nursery.start_soon(self.observer.run)
            await self.apply_table()
            await self.grant_keys()
            await self.fleet.start_minions(nursery)
            self.say(f"{len(self.fleet.minions)} minions announced themselves")
            await self.make_calls()
            await self.resend_bookings()
            await self.refuse_strangers()
            jobs = await self.submit_jobs()
            await self.drain_under_load()
            await self.finish_jobs(jobs)
            await self.race_operators()
            await self.withdraw_key()
            await self.take_minion_away()
            await self.shut_entry_down()
            nursery.cancel_scope.cancel()
        return self.ledger

    async def apply_table(self) -> None:
        """Apply the example's table and check that every entry has it in force."""
        table = self.fleet.plan.table
        edits = to_plain(edits_between(DeclaredTable(), table, {}))
        answer = await self.change({"edits": edits})
        self._require(answer, "table apply")
        accepted = answer.json()
        for name in self.fleet.entries:
            index = self.fleet.entry_node(name).replayed_state.index()
            self.ledger.check(IN_FORCE, index >= accepted["index"], f"{name} is at {index}")
        self.say(f"the table of {len(edits)} rows is accepted as version {accepted['version']}")

    def _require(self, answer: HttpResponse, what: str) -> None:
        if answer.status >= 400:  # noqa: PLR2004
            raise HornbeamreachError(f"{what} was refused: {decode_refusal(answer)}")

    async def grant_keys(self) -> None:
        """Grant a key to every team; control sees only the hashes."""
        edits = []
        for team in self.fleet.plan.table.teams:
            self.keys[team] = f"{self.fleet.rng.getrandbits(128):032x}"
            edits.append({"key_hash": sha256(self.keys[team]), "team": team, "key_id": "demo"})
        self._require(await self.change({"key_edits": edits}), "key grant")
        self.say(f"granted {len(edits)} keys")

    async def make_calls(self) -> None:
        """Call an idempotent service from every team at once."""
        service = self._service(idempotent=True)
        start_ms = self.fleet.clock.now_ms()
        async with trio.open_nursery() as nursery:
            for number in range(CALLS):
                nursery.start_soon(self._checked_call, service, number)
        took_ms = self.fleet.clock.now_ms() - start_ms
        ran = self._sum_executions(b"request")
        self.say(f"{CALLS} calls to {service} in {took_ms} ms; {ran} ran")

    def _service(self, *, idempotent: bool) -> str:
        services = self.fleet.plan.table.services
        return next(name for name, row in services.items() if row.idempotent is idempotent)

    async def _checked_call(self, service: str, number: int) -> None:
        teams = sorted(self.keys)
        body = f"request {number}".encode()
        answer = await self.call(teams[number % len(teams)], service, body)
        own = answer.status == HTTP_OK and answer.json()["body"].encode() == body
        self.ledger.check(ANSWERS, own, f"{number}: {answer.status} {answer.body[:120]!r}")

    async def resend_bookings(self) -> None:
        """Resend non-idempotent calls to other entry VMs, also at the same time."""
        service = self._service(idempotent=False)
        teams = sorted(self.keys)
        for number in range(12):
            team, key = teams[number % len(teams)], self.new_idempotency_key()
            body = f"booking {number}".encode()
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(self._send_booking, team, service, body, key)
            answer = await self._send_booking(team, service, body, key)
            own = answer.status == HTTP_OK and answer.json()["body"].encode() == body
            self.ledger.check(ANSWERS, own, f"{number}: {answer.status} {answer.body[:120]!r}")
            runs = self._executions(body)
            self.ledger.check(ONCE, runs == 1, f"booking {number} ran {runs} times")
        ran = self._sum_executions(b"booking")
        self.say(f"12 calls to {service} were each sent 3 times; {ran} ran")

    async def _send_booking(self, team: str, service: str, body: bytes, key: str) -> HttpResponse:
        return await self.call(team, service, body, idempotency_key=key)

    def _executions(self, body: bytes) -> int:
        return sum(
            1
            for minion in self.fleet.minions.values()
            for execution in minion.executions
            if execution.body == body
        )

    def _sum_executions(self, prefix: bytes) -> int:
        return sum(
            1
            for minion in self.fleet.minions.values()
            for execution in minion.executions
            if execution.body.startswith(prefix)
        )

    async def refuse_strangers(self) -> None:
        """Send calls that must be refused, and check that none of them ran."""
        service = self._service(idempotent=True)
        url = f"http://{self.balancer()}/v1/services/{service}/calls"
        attempts = {
            "no key": await self.http.send("POST", url, body=b"stranger"),
            "unknown key": await self.http.send("POST", url, bearer="x" * 32, body=b"stranger"),
            "unknown service": await self.call(
                sorted(self.keys)[0], "no-such-service", b"stranger"
            ),
        }
        for what, answer in attempts.items():
            refused = answer.verdict() is Verdict.NOT_RUN
            self.ledger.check(NOT_RUN, refused, f"{what}: {answer.status}")
        runs = self._executions(b"stranger")
        self.ledger.check(NOT_RUN, runs == 0, f"a refused call ran {runs} times")
        reasons = ", ".join(answer.reason() for answer in attempts.values())
        self.say(f"refused without running: {reasons}")

    async def submit_jobs(self) -> list[tuple[str, str]]:
        """Submit jobs to every queue; return their teams and ids."""
        jobs = []
        teams, queues = sorted(self.keys), sorted(self.fleet.plan.table.queues)
        for number in range(JOBS):
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
            url = f"http://{self.balancer()}/v1/queues/{queue}/jobs"
            headers = {"idempotency-key": self.new_idempotency_key()}
            answer = await self.http.send(
                "POST", url, bearer=self.keys[team], headers=headers, body=body
            )
            self._require(answer, "submit")
            jobs.append((team, answer.json()["job_id"]))
        self.say(f"{len(jobs)} jobs accepted in {len(queues)} queues")
        return jobs

    async def drain_under_load(self) -> None:
        """Drain two VMs of one pool, whose budget is one, while calls go on."""
        table = self.fleet.plan.table
        service = self._service(idempotent=True)
        pool = table.services[service].pool
        vms = table.vms_of_pool(pool)[:2]
        for vm in vms:
            body = {"operation_id": self.operation_id(), "vm": vm, "action": "reboot"}
            self._require(await self.operate("maintenance", body), "vm drain")
        self.say(f"ordered reboots of {' and '.join(vms)}; pool {pool} may miss one VM at a time")
        done = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call_until, service, done)
            for vm in vms:
                took_ms = await self.fleet.wait_until(
                    lambda vm=vm: self._maintained(vm), f"{vm} is maintained", timeout_ms=30_000
                )
                self.ledger.check(MAINTAINED, True)
                self.say(f"{vm} drained, rebooted and returned (waited {took_ms} ms more)")
            done.set()

    def _maintained(self, vm: str) -> bool:
        data_center = self.fleet.plan.table.vms[vm].data_center
        rebooted = bool(self.fleet.platforms[data_center].vms[vm].reboots)
        return rebooted and self.observer.phases().get(vm) is VmPhase.IN_SERVICE

    async def _call_until(self, service: str, done: trio.Event) -> None:
        number = 1_000
        while not done.is_set():
            number += 1
            await self._checked_call(service, number)
            await trio.sleep(seconds(10))

    async def finish_jobs(self, jobs: list[tuple[str, str]]) -> None:
        """Wait for every job and fetch its result from any entry VM."""
        finished = 0
        for team, job_id in jobs:
            answer = await self._fetch_result(team, job_id)
            own = answer.status == HTTP_OK and job_id in answer.body.decode()
            detail = f"{job_id}: {answer.status} {answer.body[:160]!r}"
            self.ledger.check(JOBS_FINISH, own, detail)
            finished += own
        starts = [
            count
            for platform in self.fleet.platforms.values()
            for count in platform.starts.values()
        ]
        self.ledger.check(ONCE, max(starts, default=0) <= 1, "a task was started twice")
        self.say(f"{finished} of {len(jobs)} jobs finished and their results were fetched")

    async def _fetch_result(self, team: str, job_id: str) -> HttpResponse:
        for _ in range(100):
            url = f"http://{self.balancer()}/v1/jobs/{job_id}/result"
            answer = await self.http.send("GET", url, bearer=self.keys[team])
            if answer.reason() != "job_not_finished":
                break
            await trio.sleep(seconds(100))
        return answer

    async def race_operators(self) -> None:
        """Let two operators change the same row under the same version, and resend."""
        table = (await self.operate("table")).json()
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
        self.ledger.check(RACE, len(accepted) == 1, f"{len(accepted)} were accepted")
        first = dict(answers)
        await edit("race-operation-one", 31.0)
        await edit("race-operation-two", 32.0)
        for name, answer in answers.items():
            same = answer.status == first[name].status
            self.ledger.check(RESEND, same, f"{first[name].status} then {answer.status}")
        self.say(f"two operators raced: {len(accepted)} won; both sent their operations again")

    async def withdraw_key(self) -> None:
        """Withdraw a key and check that it stops working at every entry VM."""
        team = sorted(self.keys)[-1]
        service = self._service(idempotent=True)
        start_ms = self.fleet.clock.now_ms()
        edit = {"key_hash": sha256(self.keys[team]), "withdraw": True}
        self._require(await self.change({"key_edits": [edit]}), "key withdraw")
        took_ms = self.fleet.clock.now_ms() - start_ms
        for address in self.fleet.entry_addresses():
            url = f"http://{address}/v1/services/{service}/calls"
            answer = await self.http.send("POST", url, bearer=self.keys[team], body=b"late")
            refused = answer.reason() == "unknown_key"
            self.ledger.check(KEYS, refused, f"{address} answered {answer.status}")
        self.ledger.check(KEYS, took_ms < WITHDRAWN_WITHIN_MS, f"it took {took_ms} ms")
        self.ledger.check(KEYS, self._executions(b"late") == 0, "a call ran after that")
        del self.keys[team]
        self.say(f"the key of {team} was withdrawn everywhere in {took_ms} ms")

    async def take_minion_away(self) -> None:
        """Let a minion announce that it leaves, and check that no new work reaches it."""
        service = self._service(idempotent=True)
        minion = self.fleet.minions[f"{service}-1"]
        minion.leaving = True
        await minion.announce_once()
        await trio.sleep(seconds(2_000))
        before = len(minion.executions)
        async with trio.open_nursery() as nursery:
            for number in range(2_000, 2_060):
                nursery.start_soon(self._checked_call, service, number)
        got = len(minion.executions) - before
        self.ledger.check(LEAVING, got == 0, f"{minion.endpoint} got {got} calls")
        self.say(f"{minion.endpoint} announced that it leaves and got {got} of 60 calls")

    async def shut_entry_down(self) -> None:
        """Shut an entry VM down with calls in flight; every one must be answered."""
        service = self._service(idempotent=True)
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
            self.ledger.check(GRACEFUL, answer.status == HTTP_OK, f"got {answer.status}")
        await self.fleet.wait_until(
            self.fleet.entries[name].ended.is_set, f"{name} has ended", timeout_ms=15_000
        )
        await self._checked_call(service, 3_000)
        answered = sum(answer.status == HTTP_OK for answer in answers)
        self.say(f"{name} of {data_center} shut down with 6 calls in flight; {answered} answered")


async def run_demo(example: str | Path, say: Say) -> Ledger:
    """Run the demo on an example file and return what was checked."""
    with tempfile.TemporaryDirectory(prefix="hornbeamreach-demo-") as folder:
        fleet = LocalFleet(example=example, data_folder=folder, clock=Clock())
        demo = Demo(fleet=fleet, say=say)
        with trio.fail_after(seconds(DEMO_TIMEOUT_MS)):
            return await demo.run()
