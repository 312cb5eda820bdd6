"""The interface of the protocol between a gateway and backend servers."""

from typing import Protocol

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import HttpResponse


class BackendWire(Protocol):
    """Encodes requests to backend servers and parses their responses."""

    def encode_head(self, request: GatewayRequest) -> bytes:
        """Return the start of the request, which is the same for all servers."""

    def encode(
        self, head: bytes, request: GatewayRequest, entry: ServerEntry, now: float
    ) -> bytes:
        """Return the request to one server, with the time left to its deadline."""

    def matches(self, response: HttpResponse, request: GatewayRequest) -> bool:
        """Return whether a response matches this request, by its id."""

    def parse_response(self, response: HttpResponse) -> BackendAnswer:
        """Return the verdict, the content and the server's stamps of a response."""
