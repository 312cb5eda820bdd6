"""Messages without end: every reader gives up after a bounded number of bytes."""

import gc
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.internet.testing import StringTransport

from currantwharf.http1 import (
    BadRequest,
    BadResponse,
    CallerConnection,
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    MemoryBudget,
    RequestLimits,
    RequestReader,
    ResponseReader,
)
from currantwharf.http1.backend_connection import MAX_RESPONSE_BYTES
from currantwharf.http1.response_reader import MAX_FRAMING_BYTES
from currantwharf.http1.tests.endless_messages import (
    ENDLESS_REQUESTS,
    ENDLESS_RESPONSES,
)
from currantwharf.http1.tests.flooding import FloodingServer
from currantwharf.tests.loopback import run_until

READ_BYTES = 65_536  # most that a transport delivers at a time
BODY_KINDS = ("body until the end", "body with a length", "chunks")
LIMITS = RequestLimits(header_bytes=16_384, body_bytes=262_144)
MAX_REQUEST_BYTES = 2 * LIMITS.body_bytes


def count_accepted_bytes(reader, beginning, repeated, error, limit):
    """Feed a message until the reader raises `error`; return the bytes it took."""
    accepted = 0
    data = beginning + repeated
    while accepted <= limit:
        try:
            reader.feed(data)
        except error:
            return accepted
        accepted += len(data)
        data = repeated
    raise AssertionError(f"took {accepted} bytes")


class EndlessMessageTests(unittest.TestCase):
    def test_responses(self):
        for kind, message in ENDLESS_RESPONSES.items():
            limit = MAX_RESPONSE_BYTES if kind in BODY_KINDS else MAX_FRAMING_BYTES
            with self.subTest(kind):
                budget = MemoryBudget(2 * MAX_RESPONSE_BYTES)
                reader = ResponseReader(MAX_RESPONSE_BYTES, budget)
                count_accepted_bytes(
                    reader, *message, BadResponse, 1.1 * limit + READ_BYTES
                )
                self.assertLessEqual(budget.used, 1.1 * limit + READ_BYTES)
                reader.close()
                self.assertEqual(budget.used, 0)

    def test_requests(self):
        for kind, message in ENDLESS_REQUESTS.items():
            with self.subTest(kind):
                budget = MemoryBudget(10 * MAX_REQUEST_BYTES)
                reader = RequestReader(LIMITS, budget)
                count_accepted_bytes(reader, *message, BadRequest, MAX_REQUEST_BYTES)
                self.assertLessEqual(budget.used, MAX_REQUEST_BYTES)
                reader.close()
                self.assertEqual(budget.used, 0)

    def measure_held_bytes(self, make_reader, message, error):
        """Return the memory held, at most, by connections that are opened again.

        The garbage collector is off, as it is between two of its runs.
        """
        beginning, repeated = message
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        readers = [(make_reader(), False) for _ in range(20)]
        for _ in range(40):
            for number, (reader, has_begun) in enumerate(readers):
                try:
                    reader.feed(repeated if has_begun else beginning + repeated)
                    readers[number] = reader, True
                except error:
                    reader.close()
                    readers[number] = make_reader(), False
        held = tracemalloc.get_traced_memory()[1]
        self.doCleanups()
        return held

    def test_closed_connections_hold_nothing(self):
        """Guards against memory that only the garbage collector frees."""
        for kinds, make_reader, error in (
            (ENDLESS_RESPONSES, self.make_response_reader, BadResponse),
            (ENDLESS_REQUESTS, self.make_request_reader, BadRequest),
        ):
            for kind, message in kinds.items():
                with self.subTest(kind):
                    self.budget = MemoryBudget(1_000_000)
                    held = self.measure_held_bytes(make_reader, message, error)
                    self.assertLess(held, 2 * self.budget.max_bytes)

    def test_largest_message_gives_way_and_its_neighbours_do_not(self):
        """Guards against answers that are lost for another server's endless body."""
        events, evicted = [], []
        budget = MemoryBudget(1_000_000)
        budget.on_eviction = lambda: events.append(True)
        head, _ = ENDLESS_RESPONSES["body until the end"]
        readers = [
            ResponseReader(
                MAX_RESPONSE_BYTES, budget, lambda n=number: evicted.append(n)
            )
            for number in range(3)
        ]
        for reader, size in zip(readers, (100_000, 700_000, 150_000), strict=True):
            reader.feed(head + b"x" * size)
        readers[0].feed(b"x" * 100_000)
        self.assertEqual((evicted, len(events)), ([1], 1))
        self.assertLess(budget.used, 400_000)
        with self.assertRaises(BadResponse):
            readers[2].feed(b"x" * 1_000_000)
        self.assertEqual((evicted, len(events)), ([1], 2))

    def test_caller_whose_request_gives_way_is_refused(self):
        budget = MemoryBudget(100_000)
        conn = CallerConnection(
            lambda request, responder: None,
            LIMITS,
            lambda: 0.0,
            lambda: False,
            lambda conn: None,
            budget,
        )
        transport = StringTransport()
        conn.makeConnection(transport)
        conn.dataReceived(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"
            + b"x" * 80_000
        )
        other = ResponseReader(MAX_RESPONSE_BYTES, budget)
        other.feed(ENDLESS_RESPONSES["body until the end"][0] + b"x" * 30_000)
        self.assertTrue(transport.value().startswith(b"HTTP/1.1 503 "))
        self.assertTrue(transport.disconnecting)
        self.assertLess(budget.used, 31_000)

    def make_response_reader(self):
        return ResponseReader(MAX_RESPONSE_BYTES, self.budget)

    def make_request_reader(self):
        return RequestReader(LIMITS, self.budget)

    def test_all_connections_together_are_bounded(self):
        budget = MemoryBudget(1_000_000)
        readers = [ResponseReader(MAX_RESPONSE_BYTES, budget) for _ in range(20)]
        head, filler = ENDLESS_RESPONSES["body until the end"]
        refused = 0
        for _ in range(100):
            for reader in readers:
                try:
                    reader.feed(head + filler)
                except BadResponse as exc:
                    self.assertIs(exc.failure, ConnectionFailure.TOO_LARGE)
                    refused += 1
        self.assertGreater(refused, 0)
        self.assertLessEqual(budget.used, budget.max_bytes)

    def test_pipelined_requests_that_wait_are_bounded(self):
        budget = MemoryBudget(1_000_000)
        handled = []
        conn = CallerConnection(
            lambda request, responder: handled.append(responder),
            LIMITS,
            lambda: 0.0,
            lambda: False,
            lambda conn: None,
            budget,
        )
        transport = StringTransport()
        conn.makeConnection(transport)
        size = 200_000
        request = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size
        for _ in range(20):
            conn.dataReceived(request)
        self.assertLessEqual(budget.used, budget.max_bytes)
        answered = 0
        while handled:
            answered += 1
            handled.pop().finish(200, (), b"")
        self.assertLessEqual(answered, budget.max_bytes / size + 1)
        self.assertIn(b"HTTP/1.1 503 ", transport.value())
        self.assertTrue(transport.disconnecting)
        conn.connectionLost()
        self.assertEqual(budget.used, 0)

    def test_many_whole_messages_are_no_endless_one(self):
        budget = MemoryBudget(100_000)
        reader = ResponseReader(1000, budget)
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
        for _ in range(10_000):
            self.assertEqual(len(reader.feed(response)), 1)
        self.assertEqual(budget.used, 0)

    def test_chunks_of_one_byte_are_allowed(self):
        reader = ResponseReader(MAX_RESPONSE_BYTES)
        reader.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(40):
            reader.feed(b"1\r\nx\r\n" * 1000)
        (response,) = reader.feed(b"0\r\n\r\n")
        self.assertEqual(len(response.body), 40_000)


class FloodedPoolTests(unittest.TestCase):
    """Servers that flood a caller through real sockets."""

    def flood(self, kind):
        sent, results = [], []
        factory = Factory.forProtocol(
            lambda: FloodingServer(ENDLESS_RESPONSES[kind], sent)
        )
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        address = ("127.0.0.1", port.getHost().port)
        pool = ConnectionPool(reactor, reactor.seconds, address, 1)
        exchange = Exchange(
            lambda now: b"GET / HTTP/1.1\r\n\r\n",
            lambda response: True,
            reactor.seconds() + 20.0,
            False,
            results.append,
        )
        pool.send(exchange)
        run_until(lambda: bool(results), 20.0)
        run_until(lambda: not pool._open, 5.0)
        port.stopListening()
        return results, sum(sent)

    def test_connection_is_closed_and_the_failure_has_a_type(self):
        for kind in ("header value", "interim responses", "body until the end"):
            with self.subTest(kind):
                results, sent = self.flood(kind)
                self.assertEqual(results, [ConnectionFailure.TOO_LARGE])
                # What a socket's buffers hold comes on top of what was read.
                self.assertLess(sent, MAX_RESPONSE_BYTES + 16_000_000)


HTTP_BYTES = st.lists(
    st.sampled_from(
        [
            b"HTTP/1.1 200 OK\r\n",
            b"GET /a HTTP/1.1\r\n",
            b"Content-Length: 3\r\n",
            b"Content-Length: " + b"9" * 400 + b"\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: close\r\n",
            b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n",
            b"X-Id: 1\r\n",
            b"\r\n",
            b"\r\n\r\n",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
            b"ffffffffffffffffff\r\n",
            b"abc",
            b"\x00\xff",
            b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        ]
    )
    | st.binary(max_size=20),
    max_size=30,
)


class ParserFuzzTests(unittest.TestCase):
    """Any bytes end in messages or in the reader's own error."""

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(HTTP_BYTES, st.integers(1, 7))
    def test_readers_raise_only_their_own_errors(self, pieces, step):
        data = b"".join(pieces)
        readers = (
            (ResponseReader(1000, MemoryBudget(100_000)), BadResponse),
            (RequestReader(LIMITS, MemoryBudget(100_000)), BadRequest),
        )
        for reader, error in readers:
            try:
                for at in range(0, len(data), step):
                    reader.feed(data[at : at + step])
            except error:
                pass
