"""Parse and validate the body of a caller's request."""

from dataclasses import dataclass

import msgspec
import xxhash
from result import Err, Ok, Result

from currantwharf.adapters.caller_error import CallerError, CallerErrorType
from currantwharf.config import PublishedConfig
from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.query import CallerRequest

MAX_CALLER_BODY_BYTES = 65_536
MAX_DEADLINE_MS = 60_000.0
MAX_ID_LENGTH = 200  # characters, of a request id or a caller name
MAX_CLOCK_SKEW_S = 1.0  # by which a caller's clock may be ahead of this instance's


@dataclass(frozen=True, slots=True)
class CallerBody:
    """Fields of a request as the caller sends them; see docs/interfaces.md."""

    id: str
    class_name: str
    body: msgspec.Raw
    caller: str = "anonymous"
    deadline_ms: float | None = None
    issued_at: float | None = None
    resend: bool = False
    key: str | None = None


def parse_caller_request(
    raw: bytes, config: PublishedConfig, now: float, wall_time: float
) -> Result[CallerRequest, CallerError]:
    """Validate a caller's input and return the request, or the error for the caller.

    `now` is the monotonic clock and `wall_time` the Unix time, both in seconds.
    """
    decoded = _decode_caller_body(raw)
    if decoded.is_err():
        return Err(decoded.unwrap_err())
    body = decoded.unwrap()
    error = (
        _check_id(body)
        or _check_class(body, config)
        or _check_deadline(body)
        or _check_issued_at(body, config, wall_time)
    )
    if error is not None:
        return Err(error)
    return Ok(_to_request(body, now, wall_time))


def _decode_caller_body(raw: bytes) -> Result[CallerBody, CallerError]:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS as exc:
        return Err(CallerError(CallerErrorType.NOT_JSON, str(exc)))
    if "class" not in fields:
        return Err(CallerError(CallerErrorType.BAD_FIELD, "class is required"))
    fields["class_name"] = fields.pop("class")
    try:
        return Ok(_to_caller_body(fields))
    except DECODE_ERRORS as exc:
        return Err(CallerError(CallerErrorType.BAD_FIELD, str(exc)))


def _to_caller_body(fields: dict[str, msgspec.Raw]) -> CallerBody:
    return msgspec.json.decode(msgspec.json.encode(fields), type=CallerBody)


def _check_id(body: CallerBody) -> CallerError | None:
    for name, value in (("id", body.id), ("caller", body.caller)):
        if not value or len(value) > MAX_ID_LENGTH or not value.isprintable():
            detail = f"{name} must be 1 to {MAX_ID_LENGTH} printable characters"
            return CallerError(CallerErrorType.BAD_ID, detail)
    return None


def _check_class(body: CallerBody, config: PublishedConfig) -> CallerError | None:
    if body.class_name in config.classes:
        return None
    known = ", ".join(sorted(config.classes))
    detail = f"class {body.class_name[:MAX_ID_LENGTH]!r} is not one of {known}"
    return CallerError(CallerErrorType.UNKNOWN_CLASS, detail)


def _check_deadline(body: CallerBody) -> CallerError | None:
    if body.deadline_ms is None:
        return CallerError(CallerErrorType.DEADLINE_MISSING, "deadline_ms is required")
    if body.deadline_ms <= 0:
        detail = "deadline_ms must be above 0"
        return CallerError(CallerErrorType.DEADLINE_PAST, detail)
    if body.deadline_ms > MAX_DEADLINE_MS:
        detail = f"deadline_ms must be at most {MAX_DEADLINE_MS:.0f}"
        return CallerError(CallerErrorType.DEADLINE_HUGE, detail)
    return None


def _check_issued_at(
    body: CallerBody, config: PublishedConfig, wall_time: float
) -> CallerError | None:
    if config.classes[body.class_name].idempotent:
        return None
    if body.issued_at is None:
        detail = "issued_at is required for a class that is not idempotent"
        return CallerError(CallerErrorType.ISSUED_AT_MISSING, detail)
    if body.issued_at > wall_time + MAX_CLOCK_SKEW_S:
        detail = "issued_at lies in the future"
        return CallerError(CallerErrorType.ISSUED_AT_FUTURE, detail)
    return None


def _to_request(body: CallerBody, now: float, wall_time: float) -> CallerRequest:
    assert body.deadline_ms is not None
    return CallerRequest(
        body.id,
        body.class_name,
        body.caller,
        now + body.deadline_ms / 1000,
        body.issued_at if body.issued_at is not None else wall_time,
        body.resend,
        body.key if body.key is not None else body.id,
        xxhash.xxh3_128_hexdigest(body.class_name.encode() + bytes(body.body)),
        body.body,
    )
