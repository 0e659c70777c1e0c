"""HTTP interface of an entry process for callers, endpoints and operators."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hornbeamreach.clock import Clock
from hornbeamreach.converters import structure
from hornbeamreach.entry.announcements import add_local_announcement, parse_announcement
from hornbeamreach.entry.forwarding import Forwarder
from hornbeamreach.entry.identifiers import hash_key, new_token, parse_job_id
from hornbeamreach.entry.job_service import check_spec
from hornbeamreach.exceptions import InvalidInputError, RefusedError
from hornbeamreach.link.messages import (
    CallReply,
    ForwardBulkCancel,
    ForwardJob,
    ForwardSubmit,
    JobReply,
)
from hornbeamreach.tables.declared import QueueRow, ServiceRow
from hornbeamreach.tables.jobs import JobState
from hornbeamreach.tables.reports import JobSpec
from hornbeamreach.verdict import Reason, Verdict
from hornbeamreach.web.problems import (
    HTTP_OK,
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    RequestHandler,
    bearer_token,
    check_headers,
    handle_refusals,
    json_response,
    problem_response,
    read_body,
    read_json,
)

REPLAYED_HEADER = "Hornbeamreach-Replayed"
MAX_DEADLINE_DIGITS = 15
DEADLINE_HEADER = "x-deadline-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_ANNOUNCEMENT_BYTES = 4_096
HTTP_ACCEPTED = 202
HTTP_UNAVAILABLE = 503
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class EntryApi:
    """Check requests and pass them to the services."""

    def __init__(self, *, node: Any) -> None:
        self.node = node
        self.forwarder: Forwarder = node.forwarder
        self.clock: Clock = node.clock
        self.settings = node.settings

    def build_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                self._route("/v1/services/{service}/calls", "call", self.call, "POST"),
                self._route("/v1/queues/{queue}/jobs", "submit", self.submit, "POST"),
                self._route("/v1/queues/{queue}/cancel", "cancel", self.bulk_cancel, "POST"),
                self._route("/v1/jobs/{job_id}", "job", self.show_job, "GET"),
                self._route("/v1/jobs/{job_id}", "cancel", self.cancel_job, "DELETE"),
                self._route("/v1/jobs/{job_id}/result", "result", self.job_result, "GET"),
                self._route("/endpoints/v1/announce", "announce", self.announce, "POST"),
                self._route("/operator/v1/explain/{subject}", "explain", self.explain, "GET"),
                self._route("/operator/v1/status", "status", self.status, "GET"),
                Route("/healthz", self.healthz, methods=["GET"]),
                Route("/readyz", self.readyz, methods=["GET"]),
                Route("/metrics", self.render_metrics, methods=["GET"]),
            ],
            exception_handlers={404: self.unknown_path},
        )

    def _route(self, path: str, kind: str, endpoint: RequestHandler, method: str) -> Route:
        async def checked(request: Request) -> Response:
            request.state.request_id = self._new_request_id()
            check_headers(request, self.settings.limits.max_header_bytes)
            return await endpoint(request)

        guard = handle_refusals(kind, self.node.metrics, self._add_refusal_to_history)
        return Route(path, guard(checked), methods=[method])

    def _add_refusal_to_history(self, request_id: str, refusal: RefusedError) -> None:
        line = f"refused: {refusal.reason.value}, {refusal.verdict.value}: {refusal.detail}"
        self.node.history.add(request_id, self.clock.wall_ms(), line)

    async def unknown_path(self, request: Request, exc: Exception) -> Response:
        """Refuse a path that is not served."""
        self.node.metrics.refused("path", Reason.UNKNOWN_PATH)
        return problem_response(RefusedError(Reason.UNKNOWN_PATH, "no such path"))

    # Credentials

    def _require_serving(self) -> None:
        if not self.node.is_serving():
            detail = "this entry VM has not learnt the current table yet"
            raise RefusedError(Reason.NOT_READY, detail, retry_after_ms=1_000)

    def _authenticate(self, request: Request) -> tuple[str, str]:
        """Return the team of the request's key, and the key's hash."""
        token = bearer_token(request)
        if token is None:
            raise RefusedError(Reason.NO_KEY, "give the team's key as a bearer token")
        key_hash = hash_key(token)
        key = self.node.replayed_state.state.keys.get(key_hash)
        if key is None:
            raise RefusedError(Reason.UNKNOWN_KEY, "the key is not granted")
        self._require_authority(key.team)
        return key.team, key_hash

    def _require_authority(self, team: str) -> None:
        now_ms = self.clock.now_ms()
        if not self.node.authority.may_act(self.node.replayed_state.state, team, now_ms):
            detail = f"this entry VM may not act for team {team} while it is cut off"
            raise RefusedError(Reason.AUTHORITY_LAPSED, detail, retry_after_ms=1_000)

    def _require_credential(self, request: Request, expected_sha256: str) -> None:
        digest = hashlib.sha256((bearer_token(request) or "").encode()).hexdigest()
        if not hmac.compare_digest(digest, expected_sha256):
            raise RefusedError(Reason.BAD_CREDENTIAL, "the credential is wrong")

    # Calls

    async def call(self, request: Request) -> Response:
        """Serve a call."""
        self._require_serving()
        team, key_hash = self._authenticate(request)
        name = request.path_params["service"]
        service = self.node.replayed_state.state.table.services.get(name)
        if service is None:
            raise RefusedError(Reason.UNKNOWN_SERVICE, f"no service {name!r}")
        idempotency_key = request.headers.get(IDEMPOTENCY_HEADER, "")
        if not service.idempotent and not idempotency_key:
            detail = f"service {name} is not idempotent: give an Idempotency-Key"
            raise RefusedError(Reason.MISSING_IDEMPOTENCY_KEY, detail)
        reply = await self.forwarder.call(
            team=team,
            key_hash=key_hash,
            service=name,
            idempotency_key=idempotency_key,
            content_type=request.headers.get("content-type", DEFAULT_CONTENT_TYPE),
            body=await read_body(request, self.settings.limits.max_body_bytes),
            deadline_ms=self._deadline_ms(request, service),
            request_id=request.state.request_id,
        )
        self.node.metrics.finished("call", Verdict.RAN.value)
        return _call_response(reply, request.state.request_id)

    def _new_request_id(self) -> str:
        return f"{self.settings.process.id}-{new_token(self.node.rng)}"

    def _deadline_ms(self, request: Request, service: ServiceRow) -> int:
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return service.deadline_ms
        max_ms = self.settings.limits.max_deadline_ms
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
        if not is_number or not 1 <= int(text) <= max_ms:
            detail = f"X-Deadline-Ms: give whole milliseconds from 1 to {max_ms}"
            raise RefusedError(Reason.MALFORMED, detail)
        return int(text)

    # Jobs

    def _queue(self, request: Request) -> tuple[str, QueueRow]:
        name = request.path_params["queue"]
        queue = self.node.replayed_state.state.table.queues.get(name)
        if queue is None:
            raise RefusedError(Reason.UNKNOWN_QUEUE, f"no queue {name!r}")
        return name, queue

    def _team_for_queue(self, request: Request, queue: QueueRow) -> str:
        if queue.open and bearer_token(request) is None:
            self._require_authority(queue.open_team)
            return queue.open_team
        return self._authenticate(request)[0]

    async def submit(self, request: Request) -> Response:
        """Accept a job."""
        self._require_serving()
        name, queue = self._queue(request)
        team = self._team_for_queue(request, queue)
        body = await read_json(request, self.settings.limits.max_body_bytes)
        spec = structure(body, JobSpec, error=InvalidInputError)
        check_spec(spec)
        reply = await self.forwarder.submit(
            ForwardSubmit(
                team=team,
                queue=name,
                spec=spec,
                idempotency_key=request.headers.get(IDEMPOTENCY_HEADER, ""),
            )
        )
        self.node.metrics.event("job_accepted")
        return json_response(reply, status=HTTP_ACCEPTED)

    def _team_for_job(self, request: Request, job_id: str) -> str:
        parse_job_id(job_id)
        if bearer_token(request) is None:
            # Without a key, the unguessable id gives access to a job whose team has an open queue.
            return ""
        return self._authenticate(request)[0]

    async def _describe_or_cancel(self, request: Request, *, cancel: bool) -> JobReply:
        self._require_serving()
        job_id = request.path_params["job_id"]
        team = self._team_for_job(request, job_id)
        message = ForwardJob(job_id=job_id, team=team, cancel=cancel)
        return await self.forwarder.describe_job(message)

    async def show_job(self, request: Request) -> Response:
        """Return a job's state."""
        return json_response(await self._describe_or_cancel(request, cancel=False))

    async def cancel_job(self, request: Request) -> Response:
        """Cancel a job."""
        return json_response(await self._describe_or_cancel(request, cancel=True))

    async def job_result(self, request: Request) -> Response:
        """Return the complete result of a finished job."""
        reply = await self._describe_or_cancel(request, cancel=False)
        if reply.state in (JobState.QUEUED.value, JobState.STARTED.value):
            verdict = Verdict(reply.verdict)
            detail = f"the job is {reply.state}"
            raise RefusedError(
                Reason.JOB_NOT_FINISHED, detail, verdict=verdict, retry_after_ms=1_000
            )
        if reply.state != JobState.DONE.value:
            reason = Reason(reply.reason)
            raise RefusedError(reason, reply.detail, verdict=Verdict(reply.verdict))
        headers = {VERDICT_HEADER: Verdict.RAN.value}
        return Response(reply.result, media_type="text/plain", headers=headers)

    async def bulk_cancel(self, request: Request) -> Response:
        """Cancel the unfinished jobs of the caller's team in a queue, in all data centres."""
        self._require_serving()
        name, _ = self._queue(request)
        team, _ = self._authenticate(request)
        reply = await self.forwarder.bulk_cancel(ForwardBulkCancel(team=team, queue=name))
        return json_response(reply)

    # Endpoints

    async def announce(self, request: Request) -> Response:
        """Accept an endpoint's announcement."""
        self._require_credential(request, self.settings.endpoint_credential_sha256)
        self._require_serving()
        content = await read_json(request, MAX_ANNOUNCEMENT_BYTES)
        state, data_center = self.node.replayed_state.state, self.settings.process.data_center
        try:
            announcement = parse_announcement(content, state, data_center)
        except ValueError as exc:
            raise RefusedError(Reason.MALFORMED, str(exc)) from None
        if add_local_announcement(self.node.call_tables, announcement, self.clock.now_ms()):
            self.node.peer_exchange.refresh_credits()
            self.node.calls.wake()
        return json_response({"taken": True})

    # Operators

    async def explain(self, request: Request) -> Response:
        """Return what each entry process knows of a request or job."""
        self._require_credential(request, self.settings.operator_credential_sha256)
        lines = await self.forwarder.explain(request.path_params["subject"])
        return json_response({"lines": lines})

    async def status(self, request: Request) -> Response:
        """Return the status of this process."""
        self._require_credential(request, self.settings.operator_credential_sha256)
        return json_response(self.node.describe())

    async def healthz(self, request: Request) -> Response:
        """Report that the process runs."""
        return json_response({"healthy": True})

    async def readyz(self, request: Request) -> Response:
        """Return whether the load balancer should send callers here."""
        ready = self.node.is_ready()
        return json_response({"ready": ready}, status=HTTP_OK if ready else HTTP_UNAVAILABLE)

    async def render_metrics(self, request: Request) -> Response:
        """Render the process's metrics."""
        self.node.update_gauges()
        content, headers = self.node.metrics.render(request.headers.getlist("accept"))
        return Response(content, headers=headers)


def _call_response(reply: CallReply, request_id: str) -> Response:
    headers = {VERDICT_HEADER: Verdict.RAN.value, REQUEST_ID_HEADER: request_id}
    if reply.replayed:
        headers[REPLAYED_HEADER] = "true"
    return Response(
        reply.body,
        status_code=reply.status,
        media_type=reply.content_type or DEFAULT_CONTENT_TYPE,
        headers=headers,
    )
