import unittest

from currantwharf.gateway.backend_answer import Verdict
from currantwharf.http1 import HttpResponse
from currantwharf.platform.backend_protocol import (
    PlatformBackendWire,
    select_forwarded_headers,
)
from currantwharf.tests.gateway_builders import make_entry, make_request

STAMP = (b"x-server-stamp", b"s.1")


class BackendWireTests(unittest.TestCase):
    def setUp(self):
        self.wire = PlatformBackendWire()

    def verdict(self, status, *headers):
        return self.wire.parse_response(HttpResponse(status, headers, b"")).verdict

    def test_request_names_its_server_and_the_time_that_is_left(self):
        request = make_request()
        head = self.wire.encode_head(request)
        data = self.wire.encode(head, request, make_entry("i-1"), 0.25)
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        self.assertEqual(lines[0], b"GET /lookup/x HTTP/1.1")
        self.assertIn(b"x-deadline-ms: 750", lines)
        self.assertIn(b"x-expect-instance: i-1", lines)
        self.assertEqual(body, b"")

    def test_headers_of_one_connection_and_our_own_are_not_forwarded(self):
        kept = (b"x-request-id", b"r1")
        headers = (
            (b"connection", b"close, x-hop"),
            (b"x-hop", b"1"),
            (b"x-expect-instance", b"forged"),
            (b"x-deadline-ms", b"99999"),
            (b"content-length", b"5"),
            (b"transfer-encoding", b"chunked"),
            kept,
        )
        self.assertEqual(select_forwarded_headers(headers), (kept,))

    def test_verdicts(self):
        proof = (b"x-not-executed", b"1")
        self.assertEqual(self.verdict(200, STAMP), Verdict.ANSWERED)
        self.assertEqual(self.verdict(404, STAMP), Verdict.ANSWERED)
        self.assertEqual(self.verdict(500, STAMP), Verdict.FAILED)
        self.assertEqual(self.verdict(504, STAMP), Verdict.FAILED)
        self.assertEqual(self.verdict(503, proof), Verdict.REJECTED)
        self.assertEqual(self.verdict(429, proof), Verdict.REJECTED)
        self.assertEqual(self.verdict(421), Verdict.MISDIRECTED)

    def test_what_is_not_the_servers_own_answer_may_have_run(self):
        self.assertEqual(self.verdict(200), Verdict.SPOILED)
        self.assertEqual(self.verdict(503), Verdict.SPOILED)
        encoded = (b"content-encoding", b"gzip")
        self.assertEqual(self.verdict(200, STAMP, encoded), Verdict.SPOILED)

    def test_answers_are_known_by_the_id_that_they_echo(self):
        def belongs(*headers):
            answer = HttpResponse(200, headers, b"")
            return self.wire.belongs(answer, make_request())

        self.assertTrue(belongs((b"x-request-id", b"r1")))
        self.assertFalse(belongs((b"x-request-id", b"r2")))

    def test_cold_server_is_noted(self):
        answer = HttpResponse(200, (STAMP, (b"x-warmup-ms", b"2500")), b"")
        self.assertEqual(self.wire.parse_response(answer).warm_up_s, 2.5)
