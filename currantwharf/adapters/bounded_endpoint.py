"""Client connections that bound the bytes of a response."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from currantwharf.http1.backend_connection import MAX_RESPONSE_BYTES


class BoundedConnection(ProtocolWrapper):
    """Connection that is reset if more is received after a write than allowed.

    Twisted's client bounds a header line, but neither their number nor the body.
    """

    received = 0

    def write(self, data: bytes) -> None:
        """Send data; the bytes received count anew from here."""
        self.received = 0
        super().write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Send pieces of data; the bytes received count anew from here."""
        self.received = 0
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on, or reset the connection if it is too much."""
        self.received += len(data)
        if self.received > MAX_RESPONSE_BYTES:
            self.abortConnection()
        else:
            super().dataReceived(data)


class BoundedFactory(WrappingFactory):
    """Factory of bounded connections."""

    protocol = BoundedConnection
    noisy = False


@implementer(IStreamClientEndpoint)
class BoundedEndpoint:
    """Endpoint that connects through a `BoundedConnection`."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> "Deferred[Any]":
        """Connect and return the protocol that `factory` builds."""
        connected = self._endpoint.connect(BoundedFactory(factory))
        return connected.addCallback(lambda wrapper: wrapper.wrappedProtocol)


@implementer(IAgentEndpointFactory)
class BoundedEndpointFactory:
    """Builder of the endpoints of an agent."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> BoundedEndpoint:  # noqa: N802
        """Return an endpoint for the host and port of an HTTP URI."""
        return BoundedEndpoint(
            TCP4ClientEndpoint(
                self._reactor,
                uri.host.decode("ascii"),
                uri.port,
                timeout=self._connect_timeout_s,
            )
        )
