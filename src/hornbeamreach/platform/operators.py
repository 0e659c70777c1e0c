"""The interface of a control replica to operators and minions."""

from __future__ import annotations

from typing import Any

from attrs import define

from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.fleet.messages import (
    DeclareRequest,
    ForwardedReport,
    MinionLeft,
    ReadDeclaration,
    ReadWave,
    StartWave,
)
from hornbeamreach.link.leader_finder import LeaderFinder, NoLeaderError
from hornbeamreach.logs import part_logger
from hornbeamreach.metrics import Metrics
from hornbeamreach.platform import plain, web
from hornbeamreach.platform.decoding import decode_declaration, decode_report
from hornbeamreach.platform.settings import PlatformSettings
from hornbeamreach.verdict import Reason

log = part_logger("operators")

# The platform's heartbeats are at most 4 MiB; a configuration of 1,000 routes is below 1 MiB.
MAX_BODY_BYTES = 8 * 1024 * 1024
# A minion and an operator take a second without an answer as a failure.
REPORT_TIMEOUT_MS = 800
OPERATOR_TIMEOUT_MS = 900
MS_PER_S = 1_000
HTTP_BAD = 400
HTTP_NOT_FOUND = 404
HTTP_TOO_LARGE = 413
HTTP_UNAVAILABLE = 503


@define(kw_only=True, eq=False)
class OperatorsFace:
    """Translate operators' and minions' HTTP into requests to the leader."""

    settings: PlatformSettings
    finder: LeaderFinder
    metrics: Metrics

    async def __call__(self, scope: web.Scope, receive: web.Receive, send: web.Send) -> None:
        """Serve one request."""
        path = scope["path"]
        try:
            body = await web.read_body(receive, MAX_BODY_BYTES)
            status, content = await self._serve(scope["method"], path, body)
        except web.CallerGoneError:
            log.bind(request=path).info("the caller left before its request had come")
            return
        except web.BodyTooLargeError:
            status, content = HTTP_TOO_LARGE, {"reason": Reason.BODY_TOO_LARGE.value}
        except InvalidInputError as exc:
            self.metrics.refused("operator", Reason.MALFORMED)
            log.bind(request=path).info("request refused: {}", exc)
            status, content = HTTP_BAD, {"reason": Reason.MALFORMED.value, "detail": str(exc)}
        except (NoLeaderError, RefusedError) as exc:
            self.metrics.refused("operator", Reason.NO_LEADER)
            log.bind(request=path).info("no leader answered: {}", exc)
            status, content = HTTP_UNAVAILABLE, {"reason": Reason.NO_LEADER.value}
        await web.answer(send, status, content)

    async def _serve(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        parts = path.strip("/").split("/")
        match method, parts:
            case "POST", ["instances", minion, "heartbeat"]:
                return await self._report(minion, body)
            case "POST", ["instances", minion, "deregister"]:
                return await self._leave(minion, body)
            case "POST", ["config", "replace"]:
                return await self._declare(body)
            case "GET", ["config", "read"]:
                found = await self._ask(ReadDeclaration())
                return (200, found.text) if found.version else (HTTP_UNAVAILABLE, {})
            case "POST", ["wave-start"]:
                return await self._start_wave(body)
            case "GET", ["wave-get", number] if number.isdigit():
                return await self._read_wave(int(number))
        return HTTP_NOT_FOUND, {"reason": Reason.UNKNOWN_PATH.value}

    async def _ask(self, message: Any, timeout_ms: int = OPERATOR_TIMEOUT_MS) -> Any:
        return (await self.finder.send_request(message, timeout_ms=timeout_ms)).reply

    async def _report(self, minion: str, body: bytes) -> tuple[int, Any]:
        report = decode_report(minion, body)
        # No address for later heartbeats: spread over the replicas, they cost the leader least.
        await self._ask(ForwardedReport(report=report), REPORT_TIMEOUT_MS)
        return 200, {}

    async def _leave(self, minion: str, body: bytes) -> tuple[int, Any]:
        data = plain.decode_json(body) if body else {}
        born_ms = plain.whole(data, "born", 0)
        await self._ask(MinionLeft(minion=minion, born_ms=born_ms), REPORT_TIMEOUT_MS)
        return 200, {}

    async def _declare(self, body: bytes) -> tuple[int, Any]:
        found = decode_declaration(body, data_center=self.settings.data_center)
        await self._ask(
            DeclareRequest(version=found.version, text=body, table=found.table, keys=found.keys)
        )
        return 200, {}

    async def _start_wave(self, body: bytes) -> tuple[int, Any]:
        data = plain.decode_json(body)
        await self._ask(
            StartWave(
                number=plain.whole(data, "wave"),
                machines=plain.texts(data, "machines"),
                duration_ms=int(plain.number(data, "duration-s") * MS_PER_S),
                # Here `cap` bounds the machines of the wave that are down at once.
                max_down=plain.whole(data, "cap", least=1),
            )
        )
        return 200, {}

    async def _read_wave(self, number: int) -> tuple[int, Any]:
        found = await self._ask(ReadWave(number=number))
        if not found.known:
            return HTTP_NOT_FOUND, {"reason": Reason.UNKNOWN_ROW.value}
        return 200, {"state": "completed" if found.completed else "running"}
