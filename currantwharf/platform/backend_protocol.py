"""The requests to backend servers and their answers, on the platform's wire."""

from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import (
    Header,
    HttpResponse,
    encode_headers,
    end_to_end_headers,
    find_header,
)
from currantwharf.platform import names

REPLACED_HEADERS = frozenset(
    {
        names.DEADLINE_MS,
        names.EXPECTED_SERVER,
        names.TARGET_LEFT_MS,
        names.CONFIG_VERSION,
        b"content-length",
    }
)
METHODS_WITH_LENGTH = frozenset({b"POST", b"PUT", b"PATCH"})  # also if there is no body
CONTENT_ENCODING = (
    b"content-encoding"  # callers ask for none, so it is not the server's body
)


class PlatformBackendWire:
    """Translate requests and answers of backend servers."""

    def encode_head(self, request: GatewayRequest) -> bytes:
        """Return the request line and the headers that all servers get alike."""
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
        """Return a request with the time that is left and the server it is for."""
        left_ms = max(1, int((request.deadline - now) * 1000))
        return b"%s%s: %d\r\n%s: %s\r\n\r\n%s" % (
            head,
            names.DEADLINE_MS,
            left_ms,
            names.EXPECTED_SERVER,
            entry.server.encode(),
            request.body,
        )

    def belongs(self, answer: HttpResponse, request: GatewayRequest) -> bool:
        """Return whether an answer carries the id of this request, or none."""
        echoed = answer.get(names.REQUEST_ID)
        return echoed is None or echoed == request.request_id.encode()

    def parse_response(self, answer: HttpResponse) -> BackendAnswer:
        """Return what an answer says of its request."""
        headers = answer.headers
        signature = find_header(headers, names.SIGNATURE) or b""
        verdict = _verdict(answer, signature)
        kept = tuple(
            h for h in end_to_end_headers(headers) if h[0] != b"content-length"
        )
        warm_up = find_header(headers, names.WARM_UP_MS)
        warm_up_s = int(warm_up) / 1000 if warm_up and warm_up.isdigit() else 0.0
        return BackendAnswer(
            verdict, answer.status, kept, answer.body, signature, warm_up_s
        )


def select_forwarded_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a caller that a backend server gets."""
    return tuple(h for h in end_to_end_headers(headers) if h[0] not in REPLACED_HEADERS)


def _verdict(answer: HttpResponse, signature: bytes) -> Verdict:
    if answer.status == 421:
        return Verdict.MISDIRECTED
    if find_header(answer.headers, names.NOT_RUN) is not None:
        return Verdict.REJECTED
    if find_header(answer.headers, CONTENT_ENCODING) is not None or not signature:
        return Verdict.SPOILED
    return Verdict.FAILED if answer.status >= 500 else Verdict.ANSWERED
