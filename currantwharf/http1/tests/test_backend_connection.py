import unittest

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from currantwharf.http1 import BackendConnection, ConnectionFailure, Exchange


def answer(request_id, body=b"abc", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Id: %s\r\n" % (
        len(body),
        request_id,
    )
    return head + extra + b"\r\n" + body


class BackendConnectionTests(unittest.TestCase):
    def setUp(self):
        self.free = []
        self.closed = []
        self.results = []
        self.conn = BackendConnection(self.free.append, self.closed.append)
        self.transport = StringTransport()
        self.conn.makeConnection(self.transport)

    def send(self, request_id=b"1"):
        exchange = Exchange(
            lambda now: b"GET / HTTP/1.1\r\n\r\n",
            lambda found: found.get(b"x-id") == request_id,
            10.0,
            False,
            self.results.append,
        )
        self.conn.send(exchange, 0.0)

    def test_answer_frees_the_connection(self):
        self.send()
        self.conn.dataReceived(answer(b"1"))
        self.assertEqual(self.results[0].body, b"abc")
        self.assertEqual(self.free, [self.conn])

    def test_late_second_answer_is_not_the_next_requests(self):
        self.send(b"1")
        self.conn.dataReceived(answer(b"1"))
        self.send(b"2")
        self.conn.dataReceived(answer(b"1", b"old"))
        self.assertEqual(len(self.results), 1)
        self.conn.dataReceived(answer(b"2", b"new"))
        self.assertEqual(self.results[1].body, b"new")
        self.assertFalse(self.conn.is_usable)
        self.assertEqual(self.free, [self.conn])

    def test_surplus_bytes_end_the_connection(self):
        self.send()
        self.conn.dataReceived(answer(b"1") + answer(b"1", b"again"))
        self.assertEqual([r.body for r in self.results], [b"abc"])
        self.assertFalse(self.conn.is_usable)

    def test_surplus_part_of_an_answer_ends_the_connection(self):
        self.send()
        self.conn.dataReceived(answer(b"1") + b"HTTP/1.1 2")
        self.assertEqual(len(self.results), 1)
        self.assertFalse(self.conn.is_usable)

    def test_bytes_on_an_idle_connection_end_it(self):
        self.conn.dataReceived(answer(b"1"))
        self.assertFalse(self.conn.is_usable)
        self.assertEqual(self.free, [])

    def test_truncated_answer_is_broken(self):
        self.send()
        self.conn.dataReceived(answer(b"1")[:-1])
        self.conn.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.results, [ConnectionFailure.BROKEN])
        self.assertEqual(self.closed, [self.conn])

    def test_unframed_answer_counts_if_its_end_is_clean(self):
        self.send()
        self.conn.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
        self.conn.connectionLost(Failure(ConnectionDone()))
        self.assertEqual(self.results[0].body, b"abc")

    def test_unframed_answer_that_is_reset_is_broken(self):
        self.send()
        self.conn.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
        self.conn.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(self.results, [ConnectionFailure.BROKEN])

    def test_nonsense_is_spoiled(self):
        self.send()
        self.conn.dataReceived(b"nonsense\r\n\r\n")
        self.assertEqual(self.results, [ConnectionFailure.SPOILED])

    def test_connection_close_is_obeyed(self):
        self.send()
        self.conn.dataReceived(answer(b"1", extra=b"Connection: close\r\n"))
        self.assertEqual(len(self.results), 1)
        self.assertEqual(self.free, [])
        self.assertTrue(self.transport.disconnecting)

    def test_idle_time_is_learned(self):
        self.send()
        self.conn.dataReceived(answer(b"1", extra=b"Keep-Alive: timeout=5, max=9\r\n"))
        self.assertEqual(self.conn.idle_limit_s, 4.0)
