import unittest

from currantwharf.gateway.call_result import CallOutcome, CallReason, CallResult
from currantwharf.gateway.entry_point import REFUSED_AS_HELD, Refusal
from currantwharf.gateway.relay_failure import RelayFailure
from currantwharf.http1 import ConnectionFailure, HttpRequest, HttpResponse, Responder
from currantwharf.platform.caller_protocol import SPARE_S, CallerProtocol
from currantwharf.policy.coverage import Coverage
from currantwharf.tests.gateway_builders import make_answer, make_route


class FakeEntryPoint:
    def __init__(self, route):
        self.route = route
        self.config_version = 7
        self.runs = []
        self.left = []

    def find_route(self, host, path, request_id):
        return self.route

    def run(self, request, route, on_result):
        self.runs.append((request, on_result))
        return len(self.runs)

    def abandon(self, call):
        self.left.append(call)


class FakeRelay:
    def __init__(self):
        self.host = None
        self.sent = []

    def hub(self, now):
        return self.host

    def send(self, hub, encode, request, on_answer):
        self.sent.append((hub, encode(100.0), on_answer))
        return lambda: self.sent.append("withdrawn")


class CallerProtocolTests(unittest.TestCase):
    def setUp(self):
        self.entry = FakeEntryPoint(make_route(("a", "b"), top=2))
        self.relay = FakeRelay()
        self.protocol = self.protocol_with_link(float("inf"))
        self.answers = []

    def protocol_with_link(self, bytes_s):
        return CallerProtocol(self.entry, self.relay, lambda: 100.0, bytes_s)

    def handle(self, *headers, way_s=0.0, relayed=False):
        request = HttpRequest(
            b"GET", b"/lookup/x?y", ((b"host", b"a.example"), *headers), b"", True
        )
        responder = Responder(
            lambda status, found, body: self.answers.append(
                HttpResponse(status, tuple(found), body)
            ),
            way_s,
        )
        handle = self.protocol.handle_relayed if relayed else self.protocol.handle
        handle(request, responder)
        return responder

    def ask(self, left_ms=b"1000", **fields):
        self.handle((b"x-request-id", b"r1"), (b"x-deadline-ms", left_ms), **fields)
        return self.entry.runs[-1][0]

    def finish(self, outcome, reason=CallReason.NONE, answers=(), coverage=(2, 2)):
        self.ask()
        result = CallResult(
            outcome, reason, answers, Coverage(*coverage), retry_after_s=0.25
        )
        self.entry.runs[-1][1](result)
        return self.answers[-1]

    def test_times_of_a_request(self):
        request = self.ask(way_s=0.006)
        self.assertAlmostEqual(request.target_at, 100.15 - 0.006 - SPARE_S)

    def test_answer_has_to_pass_the_link_before_its_target(self):
        self.entry.route = make_route([f"s{at}" for at in range(90)], top=20)
        self.protocol = self.protocol_with_link(2.5e6)
        transfer_s = (90 * 32 + 20 * 16) / 2.5e6
        target_at = self.ask().target_at
        self.assertAlmostEqual(target_at, 100.15 - SPARE_S - transfer_s)

    def test_answer_of_a_hub_passes_the_link_twice(self):
        self.entry.route = make_route([f"s{at}" for at in range(90)], top=20)
        self.protocol = self.protocol_with_link(3200 / 0.0098)
        self.relay.host = "10.0.0.9"
        self.handle((b"x-request-id", b"r1"))
        self.assertIn(b"x-currantwharf-target-ms: 127\r\n", self.relay.sent[0][1])

    def test_last_answer_still_reaches_its_caller(self):
        request = self.ask(b"800", way_s=0.006)
        self.assertAlmostEqual(request.deadline, 100.8 - 0.006 - SPARE_S)

    def test_later_attempt_has_less_of_its_target_left(self):
        self.ask(b"1000")
        request = self.ask(b"900")
        self.assertAlmostEqual(request.deadline, 100.9 - SPARE_S)
        self.assertAlmostEqual(request.target_at, 100.05 - SPARE_S)

    def test_deadline_is_never_beyond_the_routes_timeout(self):
        for value in (b"99999", b"soon", b"-5"):
            with self.subTest(value=value):
                self.assertLessEqual(self.ask(value).deadline, 101.0)

    def test_merged_answer(self):
        answers = (make_answer(body=b"a" * 16), make_answer(body=b"b" * 16))
        found = self.finish(CallOutcome.ANSWERED, answers=answers, coverage=(2, 3))
        self.assertEqual((found.status, found.body), (200, b"b" * 16 + b"a" * 16))
        self.assertEqual(found.get(b"x-part-stamps"), b"signature, signature")
        self.assertEqual(found.get(b"x-missing-parts"), b"1")

    def test_statuses_promise_only_what_is_so(self):
        for outcome, status in (
            (CallOutcome.NOT_RUN, 503),
            (CallOutcome.UNKNOWN, 502),
            (CallOutcome.TIMED_OUT, 504),
        ):
            with self.subTest(outcome=outcome):
                found = self.finish(outcome)
                self.assertEqual(found.status, status)
                has_time = found.get(b"retry-after") is not None
                self.assertEqual(has_time, status == 503)

    def test_failure_of_a_server_is_relayed_with_its_status(self):
        self.entry.route = make_route()
        failed = make_answer(status=500, body=b"no")
        found = self.finish(CallOutcome.ANSWERED, answers=(failed,))
        self.assertEqual((found.status, found.body), (500, b"no"))

    def test_refusals_at_the_door(self):
        for refusal in Refusal:
            with self.subTest(refusal=refusal):
                self.entry.route = refusal
                self.handle((b"x-request-id", b"r1"))
                expected = 404 if refusal is Refusal.NO_ROUTE else 503
                self.assertEqual(self.answers[-1].status, expected)
                self.assertEqual(self.entry.runs, [])

    def test_request_without_an_id_is_refused(self):
        self.handle()
        self.assertEqual(self.answers[-1].status, 400)

    def test_held_request(self):
        self.ask()
        self.entry.runs[-1][1](REFUSED_AS_HELD)
        self.assertEqual(self.answers[-1].status, 503)

    def test_caller_that_leaves(self):
        responder = self.handle((b"x-request-id", b"r1"))
        responder.leave()
        self.assertEqual(self.entry.left, [1])

    def test_query_goes_to_a_hub_with_what_is_left(self):
        self.relay.host = "10.0.0.9"
        self.handle((b"x-request-id", b"r1"), (b"x-deadline-ms", b"800"))
        hub, data, on_answer = self.relay.sent[0]
        self.assertEqual(hub, "10.0.0.9")
        self.assertRegex(data, rb"x-deadline-ms: (796|797)\r\n")
        self.assertIn(b"x-currantwharf-target-ms: 147\r\n", data)
        on_answer(HttpResponse(200, ((b"x-missing-parts", b"0"),), b"hub"))
        self.assertEqual(self.answers[-1].body, b"hub")
        self.assertEqual(self.entry.runs, [])

    def test_query_that_a_hub_did_not_take_is_run_here(self):
        self.relay.host = "10.0.0.9"
        self.handle((b"x-request-id", b"r1"))
        self.relay.sent[0][2](RelayFailure.NOT_TAKEN)
        self.assertEqual(len(self.entry.runs), 1)
        self.assertEqual(self.entry.runs[0][0].prior_sends, 0)

    def test_query_that_a_hub_may_have_is_run_here_as_already_sent(self):
        self.relay.host = "10.0.0.9"
        self.handle((b"x-request-id", b"r1"))
        self.relay.sent[0][2](RelayFailure.UNCONFIRMED)
        self.assertEqual(self.entry.runs[0][0].prior_sends, 1)

    def test_hub_with_an_older_configuration_leaves_the_query_alone(self):
        self.handle(
            (b"x-request-id", b"r1"), (b"x-currantwharf-config", b"8"), relayed=True
        )
        self.assertEqual(self.answers[-1].status, 503)
        self.assertEqual(self.entry.runs, [])
        self.handle(
            (b"x-request-id", b"r1"), (b"x-currantwharf-config", b"6"), relayed=True
        )
        self.assertEqual(len(self.entry.runs), 1)

    def test_hub_without_the_route_leaves_the_query_alone(self):
        self.entry.route = Refusal.NO_ROUTE
        self.handle((b"x-request-id", b"r1"), relayed=True)
        self.assertEqual(self.answers[-1].status, 503)

    def test_query_that_was_lost_at_a_hub_is_not_run_on_more_servers(self):
        self.relay.host = "10.0.0.9"
        self.handle((b"x-request-id", b"r1"))
        self.relay.sent[0][2](RelayFailure.LOST)
        self.assertEqual(self.entry.runs, [])
        self.assertEqual(self.answers[-1].status, 502)

    def test_caller_that_leaves_a_query_at_a_hub(self):
        self.relay.host = "10.0.0.9"
        self.handle((b"x-request-id", b"r1")).leave()
        self.assertEqual(self.relay.sent[-1], "withdrawn")

    def test_hub_meets_the_target_of_the_instance_that_asked(self):
        self.handle(
            (b"x-request-id", b"r1"),
            (b"x-deadline-ms", b"800"),
            (b"x-currantwharf-target-ms", b"120"),
            relayed=True,
            way_s=0.002,
        )
        self.assertAlmostEqual(self.entry.runs[-1][0].target_at, 100.118)

    def test_failures_of_connections_tell_whether_anything_was_sent(self):
        sent = {failure for failure in ConnectionFailure if failure.may_have_been_sent}
        expected = {"broken", "spoiled", "timed_out"}
        self.assertEqual({failure.value for failure in sent}, expected)
