"""The callers' HTTP interface: each request gets one answer with a typed outcome."""

from typing import Any, Protocol

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.web.server import Request

from currantwharf.adapters.bounded_site import read_body
from currantwharf.adapters.caller_body import parse_caller_request
from currantwharf.adapters.caller_error import CallerError, CallerErrorType
from currantwharf.config import PublishedConfig
from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.query import CallerRequest, QueryResult
from currantwharf.wire import Outcome, Reason

STATUS_BY_REASON = {
    Reason.ID_REUSED: 409,
    Reason.QUARANTINED: 422,
}
STATUS_BY_OUTCOME = {
    Outcome.ANSWERED: 200,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}


class CallerHandler(Protocol):
    """Methods of an instance that the callers' interface uses."""

    def get_config_for_callers(self) -> PublishedConfig | None:
        """Return the configuration, or None while requests are not accepted."""

    def is_stopping(self) -> bool:
        """Return whether callers should connect to another instance."""

    def read_clocks(self) -> tuple[float, float]:
        """Return the monotonic clock and the Unix time, both in seconds."""

    def run(self, request: CallerRequest) -> "Deferred[QueryResult]":
        """Run a request; the deferred fires with its result."""

    def count_refused(self, error: CallerErrorType) -> None:
        """Count a request that was rejected for invalid input."""


def caller_resource(handler: CallerHandler) -> Any:
    """Return the web resource of the callers' interface."""
    app = Klein()

    @app.route("/v1/requests", methods=["POST"])
    def requests(request: Request) -> "Deferred[bytes]":
        return ensureDeferred(_handle_request(handler, request))

    @app.route("/ready")
    def ready(request: Request) -> bytes:
        if handler.get_config_for_callers() is None:
            request.setResponseCode(503)
            return b'{"ready":false}'
        return b'{"ready":true}'

    @app.handle_errors(Exception)
    def handle_error(request: Request, failure: Any) -> bytes:
        status = getattr(failure.value, "code", 500)
        request.setResponseCode(status)
        request.setHeader("content-type", "application/json")
        return b'{"outcome":"not_run","error":{"type":"no_such_resource"}}'

    return app.resource()


async def _handle_request(handler: CallerHandler, request: Request) -> bytes:
    request.setHeader("content-type", "application/json")
    if handler.is_stopping():
        request.setHeader("connection", "close")
        request.channel.persistent = False
    raw: bytes = read_body(request)
    config = handler.get_config_for_callers()
    if config is None:
        request.setResponseCode(503)
        return encode_error(raw, "not_ready", "this instance takes no requests now")
    now, wall_time = handler.read_clocks()
    parsed = parse_caller_request(raw, config, now, wall_time)
    if parsed.is_err():
        error: CallerError = parsed.unwrap_err()
        handler.count_refused(error.type)
        request.setResponseCode(400)
        return encode_error(raw, error.type, error.detail)
    result = await handler.run(parsed.unwrap())
    status = STATUS_BY_REASON.get(result.reason, STATUS_BY_OUTCOME[result.outcome])
    request.setResponseCode(status)
    return encode_result(result)


def encode_error(raw: bytes, error_type: str, detail: str) -> bytes:
    """Return the body that rejects the request body `raw` without running it.

    The outcome is unknown when the caller sent the request before: the earlier
    attempt may have run.

    >>> encode_error(b"{}", "not_json", "")
    b'{"outcome":"not_run","error":{"type":"not_json","detail":""}}'
    """
    outcome = Outcome.UNKNOWN if _is_resend(raw) else Outcome.NOT_RUN
    error = {"type": error_type, "detail": detail}
    return msgspec.json.encode({"outcome": outcome, "error": error})


def _is_resend(raw: bytes) -> bool:
    """Return whether the caller marks the request as a resend of an earlier one."""
    try:
        return bool(msgspec.json.decode(raw).get("resend"))
    except (*DECODE_ERRORS, AttributeError):
        return False


def encode_result(result: QueryResult) -> bytes:
    """Return the response body for the result of a request.

    >>> from currantwharf.query import Coverage
    >>> result = QueryResult("r1", "lookup", "c", Outcome.NOT_RUN, Reason.OVERLOADED,
    ...                      "v1", Coverage(0, 2))
    >>> b'"error":{"type":"overloaded"}' in encode_result(result)
    True
    """
    fields: dict[str, object] = {
        "id": result.request_id,
        "outcome": result.outcome,
        "index_version": result.index_version,
        "coverage": {
            "answered": result.coverage.answered,
            "shards": result.coverage.shards,
        },
        "duplicate": result.duplicate,
        "restarts": result.restarts,
        "hits": result.hits,
    }
    if result.reason is not Reason.NONE:
        fields["error"] = {"type": result.reason}
    return msgspec.json.encode(fields)


def encode_stored_result(result: QueryResult) -> bytes:
    """Return the result as the holders of the request id store it."""
    return msgspec.json.encode(result)
