"""HTTP exchanges with a web site in memory, without sockets."""

from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.testing import StringTransport


@dataclass(frozen=True)
class HttpResponse:
    """The status and the JSON body of an answer; status 0 means no answer."""

    status: int
    body: Any
    closed: bool


class MemoryConnection:
    """One connection to a site."""

    def __init__(self, site: Any) -> None:
        self._channel = site.buildProtocol(None)
        self._transport = StringTransport()
        self._transport.abortConnection = self._transport.loseConnection
        self._channel.makeConnection(self._transport)

    def send(self, raw: bytes) -> None:
        self._channel.dataReceived(raw)

    def answer(self) -> HttpResponse:
        raw = self._transport.value()
        closed = self._transport.disconnecting
        if not raw:
            return HttpResponse(0, None, closed)
        head, _, body = raw.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        if b"chunked" in head.lower():
            body = b"".join(body.split(b"\r\n")[1::2])
        return HttpResponse(status, msgspec.json.decode(body) if body else None, closed)


def make_request(method: str, path: str, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "host: here", *headers]
    if method == "POST":
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
