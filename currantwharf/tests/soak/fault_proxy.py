"""A TCP proxy on loopback that delays, drops or resets connections."""

from twisted.internet.protocol import Factory, Protocol

CALM = "calm"  # no fault
DELAYED = "delayed"  # each chunk of data is forwarded after `DELAY_S`
ONE_WAY = "one_way"  # data from the server is dropped
SILENT = "silent"  # data in both directions is dropped; connections stay open
FAULTS = (DELAYED, ONE_WAY, SILENT)
DELAY_S = 0.15


class FaultProxy(Factory):
    """Forwards connections to one port, with a fault that may change at any time.

    Connections that are open when `drop_connections_silently` is called pass no more
    data and are not closed, as when a firewall has lost its state for them.
    """

    def __init__(self, reactor, target_port):
        self.reactor = reactor
        self.fault = CALM
        self.target_port = target_port
        self.client_connections = set()
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, addr):  # noqa: N802
        return ClientConnection(self)

    def reset(self):
        """Reset all connections."""
        for client in list(self.client_connections):
            client.abort()

    def drop_connections_silently(self):
        """Drop all data of the connections that are open now; new ones work."""
        for client in self.client_connections:
            client.drops_data = True


class ClientConnection(Protocol):
    """The connection of a client to the proxy."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.server = None
        self.unsent_data = b""
        self.drops_data = False

    def connectionMade(self):  # noqa: N802
        self.proxy.client_connections.add(self)
        factory = Factory.forProtocol(lambda: ServerConnection(self))
        factory.noisy = False
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, why: self.abort()
        factory.clientConnectionLost = lambda connector, why: None
        self.proxy.reactor.connectTCP("127.0.0.1", self.proxy.target_port, factory)

    def dataReceived(self, data):  # noqa: N802
        if self.drops_data or self.proxy.fault == SILENT:
            return
        if self.server is None:
            self.unsent_data += data
        else:
            self.forward(self.server, data)

    def forward_to_client(self, data):
        """Forward data from the server to the client."""
        if not self.drops_data and self.proxy.fault not in (SILENT, ONE_WAY):
            self.forward(self, data)

    def forward(self, end, data):
        delay_s = DELAY_S if self.proxy.fault == DELAYED else 0.0
        self.proxy.reactor.callLater(delay_s, end.transport.write, data)

    def connectionLost(self, reason=None):  # noqa: N802
        self.proxy.client_connections.discard(self)
        if self.server is not None:
            self.server.transport.loseConnection()

    def abort(self):
        for end in (self, self.server):
            if end is not None:
                end.transport.abortConnection()


class ServerConnection(Protocol):
    """The connection from the proxy to the server."""

    def __init__(self, client):
        self.client = client

    def connectionMade(self):  # noqa: N802
        self.client.server = self
        if self.client.unsent_data:
            self.client.forward(self, self.client.unsent_data)

    def dataReceived(self, data):  # noqa: N802
        self.client.forward_to_client(data)

    def connectionLost(self, reason=None):  # noqa: N802
        if not self.client.drops_data:
            self.client.transport.loseConnection()
