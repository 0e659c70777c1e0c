"""ASGI application of a control replica for operators and minions."""

from __future__ import annotations

import math
import re
import uuid
from collections.abc import Callable
from typing import Any

import attrs
import trio
from attrs import define, field

from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.fleet.messages import (
    ANY_REQUEST,
    ChangeEvacuation,
    DeclareRequest,
    MinionLeft,
    ReadDeclaration,
    ReadWave,
    StartWave,
)
from hornbeamreach.fleet.report_forwarder import ReportForwarder
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import asgi, fields
from hornbeamreach.platform.decoding import decode_declaration, decode_report
from hornbeamreach.platform.settings import PlatformSettings
from hornbeamreach.verdict import Reason

log = part_logger("operators")

# The platform's heartbeats are at most 4 MiB; a configuration of 1,000 routes is below 1 MiB.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Each reply holds a whole declaration until its client has read it.
MAX_CONCURRENT_READS = 4
# Minions and operators treat a second without a response as a failure.
REPORT_TIMEOUT_MS = 800
OPERATOR_TIMEOUT_MS = 900
MS_PER_S = 1_000
WAVE_NUMBER_PATTERN = re.compile("[0-9]{1,18}")
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503


@define(kw_only=True, eq=False)
class OperatorApp:
    """Translate the HTTP requests of operators and minions into requests to the leader."""

    settings: PlatformSettings
    finder: LeaderFinder
    metrics: Metrics
    reports: ReportForwarder
    # Returns this replica's status as plain data.
    describe: Callable[[], dict[str, Any]] = dict
    # Sends operators' requests over connections of its own: on a shared one, a request waits until
    # the leader has read the minions' reports sent before it. None for `finder`.
    operator_finder: LeaderFinder | None = None
    # Returns what identifies a data centre's latest evacuation request that this replica knows.
    latest_evacuation_ms: Callable[[str], int] = lambda _: ANY_REQUEST
    reads: trio.CapacityLimiter = field(
        factory=lambda: trio.CapacityLimiter(MAX_CONCURRENT_READS), init=False
    )

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one request."""
        path = scope["path"]
        try:
            body = await asgi.read_body(receive, MAX_BODY_BYTES)
            status, content = await self._route(scope["method"], path, body)
        except asgi.ClientDisconnectedError:
            log.bind(request=path).info("client disconnected before its request was complete")
            return
        except asgi.BodyTooLargeError:
            status, content = HTTP_TOO_LARGE, {"reason": Reason.BODY_TOO_LARGE.value}
        except InvalidInputError as exc:
            self.metrics.refused("operator", Reason.MALFORMED)
            log.bind(request=path).info("request refused: {}", exc)
            status, content = HTTP_BAD_REQUEST, {
                "reason": Reason.MALFORMED.value,
                "detail": str(exc),
            }
        except (NoLeaderError, RefusedError) as exc:
            self.metrics.refused("operator", Reason.NO_LEADER)
            log.bind(request=path).info("no leader answered: {}", exc)
            status, content = HTTP_UNAVAILABLE, {"reason": Reason.NO_LEADER.value}
        await asgi.send_response(send, status, content)

    async def _route(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        parts = path.strip("/").split("/")
        match method, parts:
            case "POST", ["instances", minion, "heartbeat"]:
                return await self._handle_heartbeat(minion, body)
            case "POST", ["instances", minion, "deregister"]:
                return await self._handle_deregistration(minion, body)
            case "POST", ["config", "replace"]:
                return await self._replace_configuration(body)
            case "GET", ["config", "read"]:
                async with self.reads:
                    reply = await self._ask_leader(ReadDeclaration())
                return (200, reply.text) if reply.version else (HTTP_UNAVAILABLE, {})
            case "GET", ["operator", "v1", "status"]:
                return 200, self.describe()
            case "POST", ["wave-start"]:
                return await self._start_wave(body)
            case "GET", ["wave-get", number] if WAVE_NUMBER_PATTERN.fullmatch(number):
                return await self._read_wave(int(number))
            case "POST", ["evacuation", data_center, "begin" | "finish" as action]:
                return await self._change_evacuation(data_center, begin=action == "begin")
        return HTTP_NOT_FOUND, {"reason": Reason.UNKNOWN_PATH.value}

    async def _ask_leader(self, message: Any, timeout_ms: int = OPERATOR_TIMEOUT_MS) -> Any:
        finder = self.operator_finder or self.finder
        return (await finder.send_request(message, timeout_ms=timeout_ms)).reply

    async def _handle_heartbeat(self, minion: str, body: bytes) -> tuple[int, Any]:
        report = decode_report(minion, body)
        # The response names no replica for later heartbeats: they load the leader least when they
        # are spread over all replicas.
        await self.reports.forward(report, timeout_ms=REPORT_TIMEOUT_MS)
        return 200, {}

    async def _handle_deregistration(self, minion: str, body: bytes) -> tuple[int, Any]:
        data = fields.decode_json(body) if body else {}
        born_ms = fields.integer(data, "born", 0)
        message = MinionLeft(minion=minion, born_ms=born_ms)
        await self.finder.send_request(message, timeout_ms=REPORT_TIMEOUT_MS)
        return 200, {}

    async def _replace_configuration(self, body: bytes) -> tuple[int, Any]:
        declaration = decode_declaration(body, data_center=self.settings.data_center)
        await self._ask_leader(
            DeclareRequest(
                version=declaration.version,
                text=body,
                table=declaration.table,
                keys=declaration.keys,
            )
        )
        return 200, {}

    async def _start_wave(self, body: bytes) -> tuple[int, Any]:
        data = fields.decode_json(body)
        await self._ask_leader(
            StartWave(
                number=fields.integer(data, "wave"),
                machines=fields.strings(data, "machines"),
                duration_ms=int(fields.number(data, "duration-s") * MS_PER_S),
                # In this request, `cap` limits how many VMs of the wave are down at once.
                max_down=fields.integer(data, "cap", minimum=1),
            )
        )
        return 200, {}

    async def _change_evacuation(self, data_center: str, *, begin: bool) -> tuple[int, Any]:
        received_s = trio.current_time()
        message = ChangeEvacuation(
            data_center=data_center,
            begin=begin,
            request_id=uuid.uuid4().hex,
            after_ms=self.latest_evacuation_ms(data_center),
        )
        reply = await self._ask_leader(message)
        elapsed_ms = math.ceil((trio.current_time() - received_s) * MS_PER_S)
        if reply.late and reply.latest_age_ms > elapsed_ms:
            # The latest request was carried out before this one arrived here, and this replica
            # had not applied it yet.
            message = attrs.evolve(message, after_ms=reply.latest_ms)
            reply = await self._ask_leader(message, max(1, OPERATOR_TIMEOUT_MS - elapsed_ms))
        if reply.late:
            # Which of the two was sent first can't be known here; an operator that still wants
            # this one sends it again.
            detail = f"an opposite request for {data_center!r} was carried out meanwhile"
            self.metrics.refused("operator", Reason.CHANGE_PENDING)
            return HTTP_UNAVAILABLE, {"reason": Reason.CHANGE_PENDING.value, "detail": detail}
        if not reply.known:
            self.metrics.refused("operator", Reason.UNKNOWN_ROW)
            return HTTP_NOT_FOUND, {
                "reason": Reason.UNKNOWN_ROW.value,
                "detail": f"no VM, minion or setting names data centre {data_center!r}",
            }
        return 200, {}

    async def _read_wave(self, number: int) -> tuple[int, Any]:
        reply = await self._ask_leader(ReadWave(number=number))
        if not reply.known:
            return HTTP_NOT_FOUND, {"reason": Reason.UNKNOWN_ROW.value}
        return 200, {"state": "completed" if reply.completed else "running"}
