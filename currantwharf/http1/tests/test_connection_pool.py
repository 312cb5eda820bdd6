import unittest

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from currantwharf.http1 import ConnectionFailure, ConnectionPool, Exchange


class ConnectionPoolTests(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.results = []
        self.unreachable = []
        self.pool = ConnectionPool(
            self.reactor,
            self.reactor.seconds,
            ("127.0.0.1", 80),
            1,
            on_unreachable=lambda: self.unreachable.append(True),
        )

    def exchange(self, fresh=False, deadline=10.0):
        return Exchange(
            lambda now: b"request",
            lambda answer: True,
            deadline,
            fresh,
            self.results.append,
        )

    def connect(self, number=-1):
        factory = self.reactor.tcpClients[number][2]
        protocol = factory.buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        return protocol, transport

    def answer(self, protocol):
        protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def test_exchanges_wait_for_the_only_connection(self):
        self.pool.send(self.exchange())
        self.pool.send(self.exchange())
        self.assertEqual(len(self.reactor.tcpClients), 1)
        protocol, transport = self.connect()
        self.assertEqual(transport.value(), b"request")
        self.answer(protocol)
        self.assertEqual(transport.value(), b"requestrequest")
        self.answer(protocol)
        self.assertEqual(len(self.results), 2)
        self.assertTrue(self.pool.is_idle)

    def test_refused_connection_fails_what_waits(self):
        self.pool.send(self.exchange())
        factory = self.reactor.tcpClients[0][2]
        factory.clientConnectionFailed(None, Failure(RefusedError()))
        self.assertEqual(self.results, [ConnectionFailure.REFUSED])
        self.assertEqual(self.unreachable, [True])

    def test_withdrawn_before_it_was_written(self):
        exchange = self.exchange()
        self.pool.send(exchange)
        self.pool.cancel(exchange, ConnectionFailure.TIMED_OUT)
        self.assertEqual(self.results, [ConnectionFailure.NOT_SENT])

    def test_only_what_waits_is_withdrawn_as_unsent(self):
        written, waiting, other = (self.exchange() for _ in range(3))
        for exchange in (written, waiting, other):
            self.pool.send(exchange)
        self.connect()
        self.pool.cancel_unsent(written)
        self.assertEqual(self.results, [])
        self.pool.cancel_unsent(waiting)
        self.pool.cancel_all_unsent()
        self.assertEqual(self.results, [ConnectionFailure.NOT_SENT] * 2)
        self.assertFalse(written.is_done)

    def test_withdrawn_under_way_may_have_run(self):
        exchange = self.exchange()
        self.pool.send(exchange)
        self.connect()
        self.pool.cancel(exchange, ConnectionFailure.TIMED_OUT)
        self.assertEqual(self.results, [ConnectionFailure.TIMED_OUT])

    def test_expired_exchange_is_not_written(self):
        self.pool.send(self.exchange(deadline=1.0))
        self.reactor.advance(2.0)
        _, transport = self.connect()
        self.assertEqual(transport.value(), b"")
        self.assertEqual(self.results, [ConnectionFailure.NOT_SENT])

    def test_connection_idle_for_long_is_not_fresh(self):
        self.pool.max_connections = 2
        self.pool.send(self.exchange())
        protocol, _ = self.connect()
        self.answer(protocol)
        self.reactor.advance(1.0)
        self.pool.send(self.exchange(fresh=True))
        self.assertEqual(len(self.reactor.tcpClients), 2)
