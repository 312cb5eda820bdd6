"""The body of a caller's request, and its check."""

from dataclasses import dataclass

import msgspec
import xxhash
from result import Err, Ok, Result

from currantwharf.adapters.caller_error import CallerError, CallerErrorType
from currantwharf.config import PublishedConfig
from currantwharf.query import CallerRequest

MAX_CALLER_BODY_BYTES = 65_536  # bytes of one caller's request
LONGEST_DEADLINE_MS = 60_000.0  # milliseconds
ID_LENGTH = 200  # characters
CLOCK_SKEW_S = 1.0  # seconds that a caller's clock may be ahead


@dataclass(frozen=True, slots=True)
class CallerBody:
    """The fields of a request as the caller sends them; docs/interfaces.md explains."""

    id: str
    class_name: str
    body: msgspec.Raw
    caller: str = "anonymous"
    deadline_ms: float | None = None
    issued_at: float | None = None
    resend: bool = False
    key: str | None = None


def parse_caller_request(
    raw: bytes, config: PublishedConfig, now: float, wall: float
) -> Result[CallerRequest, CallerError]:
    """Check a caller's input and return the request, or the error to answer with.

    `now` is in seconds of the monotonic clock, `wall` the Unix time in seconds.
    """
    decoded = _decode(raw)
    if decoded.is_err():
        return Err(decoded.unwrap_err())
    body = decoded.unwrap()
    error = (
        _check_id(body)
        or _check_class(body, config)
        or _check_deadline(body)
        or _check_issued_at(body, config, wall)
    )
    if error is not None:
        return Err(error)
    return Ok(_to_request(body, now, wall))


def _decode(raw: bytes) -> Result[CallerBody, CallerError]:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(CallerError(CallerErrorType.NOT_JSON, str(exc)))
    if "class" not in fields:
        return Err(CallerError(CallerErrorType.BAD_FIELD, "class is required"))
    fields["class_name"] = fields.pop("class")
    try:
        return Ok(_convert(fields))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(CallerError(CallerErrorType.BAD_FIELD, str(exc)))


def _convert(fields: dict[str, msgspec.Raw]) -> CallerBody:
    return msgspec.json.decode(msgspec.json.encode(fields), type=CallerBody)


def _check_id(body: CallerBody) -> CallerError | None:
    for name, value in (("id", body.id), ("caller", body.caller)):
        if not value or len(value) > ID_LENGTH or not value.isprintable():
            detail = f"{name} must be 1 to {ID_LENGTH} printable characters"
            return CallerError(CallerErrorType.BAD_ID, detail)
    return None


def _check_class(body: CallerBody, config: PublishedConfig) -> CallerError | None:
    if body.class_name in config.classes:
        return None
    known = ", ".join(sorted(config.classes))
    detail = f"class {body.class_name[:ID_LENGTH]!r} is not one of {known}"
    return CallerError(CallerErrorType.UNKNOWN_CLASS, detail)


def _check_deadline(body: CallerBody) -> CallerError | None:
    if body.deadline_ms is None:
        return CallerError(CallerErrorType.DEADLINE_MISSING, "deadline_ms is required")
    if body.deadline_ms <= 0:
        detail = "deadline_ms must be above 0"
        return CallerError(CallerErrorType.DEADLINE_PAST, detail)
    if body.deadline_ms > LONGEST_DEADLINE_MS:
        detail = f"deadline_ms must be at most {LONGEST_DEADLINE_MS:.0f}"
        return CallerError(CallerErrorType.DEADLINE_HUGE, detail)
    return None


def _check_issued_at(
    body: CallerBody, config: PublishedConfig, wall: float
) -> CallerError | None:
    if config.classes[body.class_name].idempotent:
        return None
    if body.issued_at is None:
        detail = "issued_at is required for a class that is not idempotent"
        return CallerError(CallerErrorType.ISSUED_AT_MISSING, detail)
    if body.issued_at > wall + CLOCK_SKEW_S:
        detail = "issued_at lies in the future"
        return CallerError(CallerErrorType.ISSUED_AT_FUTURE, detail)
    return None


def _to_request(body: CallerBody, now: float, wall: float) -> CallerRequest:
    assert body.deadline_ms is not None
    return CallerRequest(
        body.id,
        body.class_name,
        body.caller,
        now + body.deadline_ms / 1000,
        body.issued_at if body.issued_at is not None else wall,
        body.resend,
        body.key if body.key is not None else body.id,
        xxhash.xxh3_128_hexdigest(body.class_name.encode() + bytes(body.body)),
        body.body,
    )
