"""A network without sockets for the gossip of many instances in one test."""

from twisted.internet.task import Clock


class FakeNetwork(Clock):
    """Network and clock shared by tasks; no datagram passes from or to a cut host."""

    def __init__(self):
        super().__init__()
        self.tasks = {}
        self.cut_hosts = set()
        self.sent_count = 0
        self.now = self.seconds

    def listenUDP(self, port, task, host):  # noqa: N802
        self.tasks[host] = task
        task.transport = FakeTransport(self, host)


class FakeTransport:
    def __init__(self, network, host):
        self.network = network
        self.host = host

    def write(self, data, address):
        self.network.sent_count += 1
        target = self.network.tasks.get(address[0])
        if target is None or {self.host, address[0]} & self.network.cut_hosts:
            return
        sender = (self.host, address[1])
        self.network.callLater(0.001, target.datagramReceived, data, sender)
