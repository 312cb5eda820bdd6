"""Server side of the interface between instances."""

from typing import Any, Protocol

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from currantwharf.adapters.bounded_site import read_body
from currantwharf.config import VersionedConfig
from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.fleet import InstanceList
from currantwharf.wire import Envelope, MemberUpdate, decode_envelope


class PeerHandler(Protocol):
    """Methods of an instance that the peer interface uses."""

    def receive_envelope(self, envelope: Envelope) -> "Deferred[bytes]":
        """Process the messages; the deferred fires with the complete, encoded reply."""

    def current_config(self) -> VersionedConfig | None:
        """Return the configuration in force."""

    def current_instance_list(self) -> InstanceList:
        """Return the instance list."""

    def member_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the state of all known members of the fleet."""


def peer_resource(handler: PeerHandler) -> Any:
    """Return the web resource of the peer interface."""
    app = Klein()

    @app.route("/peer/messages", methods=["POST"])
    def messages(request: Request) -> "Deferred[bytes] | bytes":
        try:
            envelope = decode_envelope(read_body(request))
        except DECODE_ERRORS:
            request.setResponseCode(400)
            return b'{"error":"not_an_envelope"}'
        return handler.receive_envelope(envelope)

    @app.route("/peer/config")
    def config(request: Request) -> bytes:
        current = handler.current_config()
        if current is None:
            request.setResponseCode(404)
            return b"{}"
        request.setHeader("config-version", str(current.version))
        return current.document

    @app.route("/peer/instances")
    def instances(request: Request) -> bytes:
        return msgspec.json.encode(handler.current_instance_list())

    @app.route("/peer/members")
    def members(request: Request) -> bytes:
        return msgspec.json.encode(handler.member_updates())

    return app.resource()
