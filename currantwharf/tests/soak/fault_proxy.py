"""A proxy on loopback that delays, cuts, silences and resets connections."""

from twisted.internet.protocol import Factory, Protocol

CALM = "calm"
DELAYED = "delayed"  # bytes are held for a while
ONE_WAY = "one_way"  # nothing comes back
SILENT = "silent"  # nothing passes, and nothing is closed
FAULTS = (DELAYED, ONE_WAY, SILENT)
DELAY_S = 0.15


class FaultProxy(Factory):
    """Carry connections to one port, with a fault that may change at any time.

    Connections that exist when a silence begins stay silent for good, as if something
    on the way had lost track of them.
    """

    def __init__(self, reactor, target_port):
        self.reactor = reactor
        self.fault = CALM
        self.target_port = target_port
        self.links = set()
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, addr):  # noqa: N802
        return Link(self)

    def reset(self):
        """Reset all connections."""
        for link in list(self.links):
            link.abort()

    def forget(self):
        """Let all connections of now fall silent, while new ones work."""
        for link in self.links:
            link.is_forgotten = True


class Link(Protocol):
    """One connection through the proxy."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.other = None
        self.waiting = b""
        self.is_forgotten = False

    def connectionMade(self):  # noqa: N802
        self.proxy.links.add(self)
        factory = Factory.forProtocol(lambda: FarEnd(self))
        factory.noisy = False
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, why: self.abort()
        factory.clientConnectionLost = lambda connector, why: None
        self.proxy.reactor.connectTCP("127.0.0.1", self.proxy.target_port, factory)

    def dataReceived(self, data):  # noqa: N802
        if self.is_forgotten or self.proxy.fault == SILENT:
            return
        if self.other is None:
            self.waiting += data
        else:
            self.carry(self.other, data)

    def back(self, data):
        """Carry bytes back."""
        if not self.is_forgotten and self.proxy.fault not in (SILENT, ONE_WAY):
            self.carry(self, data)

    def carry(self, end, data):
        delay_s = DELAY_S if self.proxy.fault == DELAYED else 0.0
        self.proxy.reactor.callLater(delay_s, end.transport.write, data)

    def connectionLost(self, reason=None):  # noqa: N802
        self.proxy.links.discard(self)
        if self.other is not None:
            self.other.transport.loseConnection()

    def abort(self):
        for end in (self, self.other):
            if end is not None:
                end.transport.abortConnection()


class FarEnd(Protocol):
    """The connection on from the proxy."""

    def __init__(self, link):
        self.link = link

    def connectionMade(self):  # noqa: N802
        self.link.other = self
        if self.link.waiting:
            self.link.carry(self, self.link.waiting)

    def dataReceived(self, data):  # noqa: N802
        self.link.back(data)

    def connectionLost(self, reason=None):  # noqa: N802
        if not self.link.is_forgotten:
            self.link.transport.loseConnection()
