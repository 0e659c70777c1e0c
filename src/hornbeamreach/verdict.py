"""Verdicts on whether a request may have run, and reasons of refusals."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """State whether a request may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Reason(enum.Enum):
    """Name why a request was refused, was retried or is still queued."""

    # Bad input
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_QUEUE = "unknown_queue"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_ROW = "unknown_row"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    NEVER_FITS = "never_fits"
    # Credentials
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    FOREIGN_JOB = "foreign_job"
    BAD_CREDENTIAL = "bad_credential"
    # Load
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline_passed"
    TEAM_AT_LIMIT = "team_at_limit"
    NO_ENDPOINT = "no_endpoint"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    SHUTTING_DOWN = "shutting_down"
    # State
    NOT_READY = "not_ready"
    AUTHORITY_LAPSED = "authority_lapsed"
    HOME_UNREACHABLE = "home_unreachable"
    RECORDS_UNAVAILABLE = "records_unavailable"
    IN_PROGRESS = "in_progress"
    TOO_OLD = "too_old"
    JOB_NOT_FINISHED = "job_not_finished"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    # Failures at an endpoint or worker
    CONNECT_FAILED = "connect_failed"
    CONNECTION_SILENT = "connection_silent"
    CONNECTION_LOST = "connection_lost"
    ENDPOINT_BUSY = "endpoint_busy"
    ANSWER_FOREIGN = "answer_foreign"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ENTRY_LOST = "entry_lost"
    TASK_FAILED = "task_failed"
    TASK_LEASE_LAPSED = "task_lease_lapsed"
    WORKER_DRAINED = "worker_drained"
    PREEMPTED = "preempted"
    # Configuration
    VERSION_CONFLICT = "version_conflict"
    CHANGE_PENDING = "change_pending"
    INCONSISTENT_TABLE = "inconsistent_table"
    DATA_CENTER_CUT_OFF = "data_center_cut_off"
    OPERATION_REUSED = "operation_reused"
    BUDGET_SPENT = "budget_spent"
    NO_LEADER = "no_leader"


HTTP_STATUS = {
    Reason.MALFORMED: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_QUEUE: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.UNKNOWN_ROW: 404,
    Reason.MISSING_IDEMPOTENCY_KEY: 400,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.NEVER_FITS: 422,
    Reason.NO_KEY: 401,
    Reason.UNKNOWN_KEY: 401,
    Reason.BAD_CREDENTIAL: 401,
    Reason.FOREIGN_JOB: 403,
    Reason.QUEUE_FULL: 429,
    Reason.OVERLOADED: 429,
    Reason.TEAM_AT_LIMIT: 429,
    Reason.DEADLINE_PASSED: 504,
    Reason.IN_PROGRESS: 409,
    Reason.TOO_OLD: 410,
    Reason.JOB_NOT_FINISHED: 409,
    Reason.CANCELLED: 409,
    Reason.QUARANTINED: 422,
    Reason.VERSION_CONFLICT: 409,
    Reason.CHANGE_PENDING: 409,
    Reason.INCONSISTENT_TABLE: 422,
    Reason.DATA_CENTER_CUT_OFF: 409,
    Reason.OPERATION_REUSED: 422,
    Reason.BUDGET_SPENT: 409,
    Reason.CONNECTION_SILENT: 502,
    Reason.CONNECTION_LOST: 502,
    Reason.ANSWER_FOREIGN: 502,
    Reason.ANSWER_INCOMPLETE: 502,
}
DEFAULT_HTTP_STATUS = 503


def http_status(reason: Reason) -> int:
    """Return the HTTP status of a refusal for this reason."""
    return HTTP_STATUS.get(reason, DEFAULT_HTTP_STATUS)
