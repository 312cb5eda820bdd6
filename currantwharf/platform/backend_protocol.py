"""Requests to backend servers and their responses in the platform's wire format."""

from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.limit_report import MAX_LIMIT_PER_S
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import (
    Header,
    HttpResponse,
    encode_headers,
    find_header,
    parse_count,
    parse_decimal,
    select_end_to_end_headers,
)
from currantwharf.platform import names
from currantwharf.runtime.component_log import component_logger

# Headers that this instance writes itself; a caller's values are not forwarded.
REPLACED_HEADERS = frozenset(
    {
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.TARGET_LEFT_MS,
        names.CONFIG_VERSION,
        b"content-length",
    }
)
# Requests with these methods carry a content-length even if their body is empty.
METHODS_WITH_LENGTH = frozenset({b"POST", b"PUT", b"PATCH"})
MAX_WARM_UP_MS = 600_000  # a longer warm-up counts as this one
MAX_REJECTION_TIME_S = 3_600.0  # a longer one counts as this one
MAX_LOGGED_BYTES = 80  # of a header's values
# No caller asks for an encoded body, so one that is encoded is not the server's own.
CONTENT_ENCODING = b"content-encoding"

log = component_logger("answer")


class PlatformBackendWire:
    """Encode requests to backend servers and parse their responses."""

    def encode_head(self, request: GatewayRequest) -> bytes:
        """Return the request line and the headers that are the same for all servers."""
        head = b"%s %s HTTP/1.1\r\n%s" % (
            request.method,
            request.target,
            encode_headers(request.headers),
        )
        if request.body or request.method in METHODS_WITH_LENGTH:
            head += b"content-length: %d\r\n" % len(request.body)
        return head

    def encode(
        self, head: bytes, request: GatewayRequest, entry: ServerEntry, now: float
    ) -> bytes:
        """Return a request, with the server's id and the time left to the deadline."""
        remaining_ms = max(1, int((request.deadline - now) * 1000))
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            head,
            names.DEADLINE_MS,
            remaining_ms,
            names.EXPECTED_SERVER,
            entry.server.encode(),
            request.body,
        )

    def matches(self, response: HttpResponse, request: GatewayRequest) -> bool:
        """Return whether a response carries the id of this request.

        Servers echo the id in every response. One without it may belong to an earlier
        request on the same connection.
        """
        return response.get(names.REQUEST_ID) == request.request_id.encode()

    def parse_response(self, response: HttpResponse) -> BackendAnswer:
        """Return the verdict and the content of a response."""
        headers = response.headers
        signature = find_header(headers, names.SIGNATURE) or b""
        verdict = _classify(response, signature)
        forwarded = tuple(
            h
            for h in select_end_to_end_headers(headers)
            if h[0] != b"content-length" or _is_length_of_absent_body(h[1], response)
        )
        warm_up_ms = parse_count(find_header(headers, names.WARM_UP_MS), MAX_WARM_UP_MS)
        warm_up_s = (warm_up_ms or 0) / 1000
        return BackendAnswer(
            verdict,
            response.status,
            forwarded,
            response.body,
            signature,
            warm_up_s,
            parse_decimal(find_header(headers, names.SERVER_LIMIT), MAX_LIMIT_PER_S),
            _says_that_it_leaves(response),
            _read_rejection_time(response),
        )


def _is_length_of_absent_body(length: bytes, response: HttpResponse) -> bool:
    """Return whether a length tells of a body that a response to HEAD leaves out."""
    return (
        not response.body
        and bool(parse_count(length, 1))
        and response.status not in (204, 304)
    )


def select_forwarded_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a caller's request that a backend server receives."""
    return tuple(
        h for h in select_end_to_end_headers(headers) if h[0] not in REPLACED_HEADERS
    )


def _says_that_it_leaves(response: HttpResponse) -> bool:
    """Return whether every `Server-Leaving` header of a response is "1"."""
    values = _find_values(response, names.SERVER_LEAVING)
    if not values:
        return False
    is_leaving = all(value == b"1" for value in values)
    if not is_leaving:
        _log_unreadable(names.SERVER_LEAVING, values)
    return is_leaving


def _read_rejection_time(response: HttpResponse) -> float:
    """Return the longest `Retry-After` of a 503, in seconds; 0 if there is none.

    A date is not read: the clocks of the machines differ.
    """
    if response.status != 503:
        return 0.0
    values = _find_values(response, names.RETRY_AFTER)
    times = [parse_decimal(value, MAX_REJECTION_TIME_S) for value in values]
    if None in times:
        _log_unreadable(names.RETRY_AFTER, values)
    return max((time for time in times if time is not None), default=0.0)


def _find_values(response: HttpResponse, name: bytes) -> list[bytes]:
    return [value.strip() for key, value in response.headers if key == name]


def _log_unreadable(name: bytes, values: list[bytes]) -> None:
    text = b", ".join(values)[:MAX_LOGGED_BYTES].decode("latin-1")
    fields = {"header": name.decode(), "values": text}
    log.warning("header of a server is unreadable; ignoring it", extra=fields)


def _classify(response: HttpResponse, signature: bytes) -> Verdict:
    if response.status == 421:
        return Verdict.MISDIRECTED
    if find_header(response.headers, names.NOT_RUN) is not None:
        return Verdict.REJECTED
    if find_header(response.headers, CONTENT_ENCODING) is not None or not signature:
        return Verdict.SPOILED
    return Verdict.FAILED if response.status >= 500 else Verdict.ANSWERED
