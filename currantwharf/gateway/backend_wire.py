"""What a gateway asks of the protocol that backend servers speak."""

from typing import Protocol

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import HttpResponse


class BackendWire(Protocol):
    """Translate between requests and answers and their bytes."""

    def encode_head(self, request: GatewayRequest) -> bytes:
        """Return what the requests to all servers have in common."""

    def encode(
        self, head: bytes, request: GatewayRequest, entry: ServerEntry, now: float
    ) -> bytes:
        """Return the request to one server, with the time that is left."""

    def belongs(self, answer: HttpResponse, request: GatewayRequest) -> bool:
        """Return whether an answer is one to this request."""

    def parse_response(self, answer: HttpResponse) -> BackendAnswer:
        """Return what an answer says."""
