import unittest

from currantwharf.gateway.backend_answer import Verdict
from currantwharf.gateway.call_actions import FinishCall, SendAttempt
from currantwharf.gateway.call_result import CallOutcome, CallReason
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.running_call import RunningCall
from currantwharf.http1 import ConnectionFailure
from currantwharf.tests.gateway_builders import (
    FAR,
    make_answer,
    make_chooser,
    make_entry,
    make_request,
    make_route,
)

SHARDS = ("camphor", "longan")


def replicas(*services):
    entries = []
    for service in services:
        entries.append(make_entry(f"{service}-near", service))
        entries.append(make_entry(f"{service}-far", service, FAR))
    return entries


class CallTestCase(unittest.TestCase):
    def start_call(self, route, services, entries=None, limits=None, **request):
        self.chooser = make_chooser(entries or replicas(*services), limits)
        self.call = RunningCall(
            make_request(**request), route, tuple(services), self.chooser, 0
        )
        return self.call.start(0.0)

    def attempts_by_server(self, actions):
        return {a.entry.server: a.attempt for a in actions if type(a) is SendAttempt}

    def finished_result(self, actions):
        results = [a.result for a in actions if type(a) is FinishCall]
        self.assertEqual(len(results), 1, actions)
        return results[0]


class QueryTests(CallTestCase):
    """Queries over many shards."""

    def setUp(self):
        self.first = self.attempts_by_server(
            self.start_call(make_route(SHARDS), SHARDS)
        )

    def test_each_shard_is_sent_to_its_near_server(self):
        self.assertEqual(set(self.first), {"camphor-near", "longan-near"})

    def test_prior_send_of_another_instance_counts_against_the_send_limit(self):
        actions = self.start_call(
            make_route(SHARDS, most_servers=2), SHARDS, prior_sends=1
        )
        first = self.attempts_by_server(actions)
        self.assertEqual(len(first), 2)
        late = self.call.wake(0.09)
        lost = self.call.on_attempt_result(
            first["camphor-near"], ConnectionFailure.BROKEN, 0.1
        )
        self.assertEqual(self.attempts_by_server(late + lost), {})

    def test_query_with_a_prior_send_is_never_reported_as_not_run(self):
        route = make_route(SHARDS, most_servers=1)
        result = self.finished_result(self.start_call(route, SHARDS, prior_sends=1))
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)

    def test_complete_answer(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        actions = self.call.on_attempt_result(
            self.first["longan-near"], make_answer(), 0.02
        )
        result = self.finished_result(actions)
        self.assertEqual(result.outcome, CallOutcome.ANSWERED)
        self.assertTrue(result.coverage.is_complete)
        self.assertEqual((result.sends, result.extras), (2, 0))

    def test_late_shard_is_hedged_once(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        wake_at = self.call.next_wake_at(0.01)
        self.assertLess(wake_at, 0.15)
        self.assertEqual(self.call.wake(wake_at - 0.001), [])
        hedges = self.attempts_by_server(self.call.wake(wake_at))
        self.assertEqual(set(hedges), {"longan-far"})
        result = self.finished_result(
            self.call.on_attempt_result(
                hedges["longan-far"], make_answer(), wake_at + 0.05
            )
        )
        self.assertEqual(result.extras, 1)

    def test_hedge_is_sent_while_a_far_server_can_still_meet_the_target(self):
        for attempt in self.first.values():
            self.call.on_attempt_result(attempt, make_answer(), 0.02)
        evidence = self.chooser.get_evidence(self.entry("longan-near"))
        evidence.samples, evidence.mean_s, evidence.deviation_s = 9, 0.02, 0.03
        evidence.latency_at = 1.0
        first = self.attempts_by_server(self.start_call_at_1s(target=0.13))
        remote_s = self.chooser.remote_latency_s("longan")
        self.call.on_attempt_result(first["camphor-near"], make_answer(), 1.01)
        wake_at = self.call.next_wake_at(1.0)
        self.assertAlmostEqual(wake_at, 1.13 - remote_s)
        self.assertEqual(
            set(self.attempts_by_server(self.call.wake(wake_at))), {"longan-far"}
        )

    def entry(self, server):
        return self.chooser.directory.get(server)

    def start_call_at_1s(self, target):
        request = make_request(now=1.0, target=target)
        self.call = RunningCall(request, make_route(SHARDS), SHARDS, self.chooser, 99)
        return self.call.start(1.0)

    def test_incomplete_answer_is_sent_at_the_target(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        result = self.finished_result(self.call.wake(0.15))
        self.assertEqual(result.outcome, CallOutcome.ANSWERED)
        self.assertEqual((result.coverage.answered, result.coverage.shards), (1, 2))

    def test_too_little_coverage_is_not_answered(self):
        first = self.attempts_by_server(
            self.start_call(make_route(SHARDS, least_coverage=0.9), SHARDS)
        )
        self.call.on_attempt_result(first["camphor-near"], make_answer(), 0.01)
        self.assertEqual([a for a in self.call.wake(0.15) if type(a) is FinishCall], [])
        result = self.finished_result(self.call.wake(1.0))
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)
        self.assertEqual(result.answers, ())

    def test_query_that_cannot_reach_its_coverage_ends_at_once(self):
        route = make_route(SHARDS, least_coverage=0.9, most_servers=1)
        first = self.attempts_by_server(self.start_call(route, SHARDS))
        actions = self.call.on_attempt_result(
            first["camphor-near"], ConnectionFailure.BROKEN, 0.01
        )
        self.assertEqual(self.finished_result(actions).outcome, CallOutcome.TIMED_OUT)

    def test_query_that_can_still_reach_its_coverage_continues(self):
        route = make_route(SHARDS, least_coverage=0.5, most_servers=1)
        first = self.attempts_by_server(self.start_call(route, SHARDS))
        actions = self.call.on_attempt_result(
            first["camphor-near"], ConnectionFailure.BROKEN, 0.01
        )
        self.assertEqual(actions, [])

    def test_failed_answers_do_not_count_as_parts(self):
        for answer in (
            make_answer(Verdict.FAILED, 500),
            make_answer(Verdict.SPOILED),
            make_answer(Verdict.REJECTED, 503),
            make_answer(Verdict.ANSWERED, 404),
            make_answer(Verdict.MISDIRECTED, 421),
        ):
            with self.subTest(verdict=answer.verdict):
                self.setUp()
                again = self.attempts_by_server(
                    self.call.on_attempt_result(
                        self.first["camphor-near"], answer, 0.01
                    )
                )
                self.assertEqual(set(again), {"camphor-far"})

    def test_query_uses_no_more_servers_than_the_route_allows(self):
        lost = ConnectionFailure.BROKEN
        again = self.attempts_by_server(
            self.call.on_attempt_result(self.first["camphor-near"], lost, 0.01)
        )
        actions = self.call.on_attempt_result(again["camphor-far"], lost, 0.02)
        self.assertEqual(actions, [])
        self.assertEqual(self.call.parts[0].possible_runs, 2)

    def test_no_hedge_with_a_spent_budget(self):
        no_repeats = GatewayLimits(repeat_ratio=0.0, repeat_slack=0.0)
        self.start_call(make_route(SHARDS), SHARDS, limits=no_repeats)
        self.assertEqual(self.attempts_by_server(self.call.wake(0.14)), {})

    def test_late_answers_after_the_result_change_nothing(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        self.finished_result(self.call.wake(0.15))
        late = self.call.on_attempt_result(
            self.first["longan-near"], make_answer(), 0.2
        )
        self.assertEqual(late, [])

    def test_query_that_was_not_sent_is_not_run(self):
        entries = [make_entry("leaving", "camphor", leaving=True)]
        self.start_call(make_route(SHARDS), SHARDS, entries)
        result = self.finished_result(self.call.wake(1.0))
        self.assertEqual(result.outcome, CallOutcome.NOT_RUN)


class SingleServiceTests(CallTestCase):
    """Requests to one service."""

    def start_order(self):
        route = make_route(idempotent=False)
        return self.attempts_by_server(self.start_call(route, ("camphor",)))[
            "camphor-near"
        ]

    def test_order_is_never_hedged(self):
        self.start_order()
        self.assertEqual(self.call.wake(0.9), [])

    def test_order_that_may_have_run_is_not_sent_again(self):
        for lost in ConnectionFailure:
            if not lost.may_have_been_sent:
                continue
            with self.subTest(lost=lost):
                result = self.finished_result(self.finish_order_attempt(lost))
                self.assertEqual(result.outcome, CallOutcome.UNKNOWN)
                self.assertEqual(result.sends, 1)

    def finish_order_attempt(self, failure):
        attempt = self.start_order()
        return self.call.on_attempt_result(attempt, failure, 0.01)

    def test_order_that_provably_did_not_run_is_sent_again(self):
        for proof in (
            make_answer(Verdict.REJECTED, 503),
            make_answer(Verdict.MISDIRECTED, 421),
            ConnectionFailure.REFUSED,
            ConnectionFailure.NOT_CONNECTED,
        ):
            with self.subTest(proof=proof):
                again = self.attempts_by_server(self.finish_order_attempt(proof))
                self.assertEqual(set(again), {"camphor-far"})

    def test_failed_answer_to_an_order_is_relayed(self):
        failed = make_answer(Verdict.FAILED, 500)
        result = self.finished_result(self.finish_order_attempt(failed))
        self.assertEqual(result.answers, (failed,))

    def test_order_with_a_spoiled_answer_is_unknown(self):
        spoiled = make_answer(Verdict.SPOILED)
        result = self.finished_result(self.finish_order_attempt(spoiled))
        self.assertEqual(result.outcome, CallOutcome.UNKNOWN)

    def test_request_rejected_by_all_servers_is_refused_at_once(self):
        rejected = make_answer(Verdict.REJECTED, 503)
        again = self.attempts_by_server(self.finish_order_attempt(rejected))
        result = self.finished_result(
            self.call.on_attempt_result(again["camphor-far"], rejected, 0.02)
        )
        self.assertEqual(result.outcome, CallOutcome.NOT_RUN)
        self.assertEqual(result.reason, CallReason.OVERLOADED)
        self.assertGreater(result.retry_after_s, 0)

    def test_request_without_an_eligible_server_is_refused_at_once(self):
        entries = [make_entry("leaving", "camphor", leaving=True)]
        actions = self.start_call(make_route(), ("camphor",), entries)
        self.assertEqual(self.finished_result(actions).outcome, CallOutcome.NOT_RUN)

    def test_request_times_out_at_its_deadline(self):
        self.start_order()
        result = self.finished_result(self.call.wake(1.0))
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)

    def test_stopping_instance_finishes_running_calls(self):
        self.start_order()
        result = self.finished_result(self.call.finish_now())
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)
        self.assertEqual(self.call.finish_now(), [])

    def test_request_that_crashes_servers_is_not_sent_again(self):
        first = self.attempts_by_server(self.start_call(make_route(), ("camphor",)))
        for server in ("a", "b", "c"):
            self.chooser.crash_watch.table.record_loss("f", server, 0.0)
        lost = ConnectionFailure.BROKEN
        actions = self.call.on_attempt_result(first["camphor-near"], lost, 0.01)
        self.assertEqual(self.attempts_by_server(actions), {})
        result = self.finished_result(actions)
        self.assertEqual(
            (result.outcome, result.reason), (CallOutcome.UNKNOWN, CallReason.HELD)
        )

    def test_part_that_waits_for_a_server_is_not_sent_once_the_request_is_held(self):
        """Its first send is no repeat, and it is held since it arrived."""
        entries = [make_entry("a", "camphor"), make_entry("b", "longan", leaving=True)]
        route = make_route(("camphor", "longan"), least_coverage=1.0)
        self.start_call(route, ("camphor", "longan"), entries)
        for server in ("x", "y", "z"):
            self.chooser.crash_watch.table.record_loss("f", server, 0.01)
        self.chooser.directory.put(make_entry("c", "longan"), 2)
        actions = self.call.wake(0.05)
        self.assertEqual(self.attempts_by_server(actions), {})


class SendLimitTests(CallTestCase):
    def test_hedge_after_rejections_does_not_use_a_number_of_the_next_call(self):
        """Guards against an answer that ends another call's attempt."""
        entries = [make_entry(f"s{number}") for number in range(8)]
        limits = GatewayLimits(repeat_ratio=0.2, repeat_slack=12_000.0)
        route = make_route(most_servers=2)
        actions = self.start_call(route, ["camphor"], entries, limits)
        attempts, now = [], 0.0
        for _ in range(20):
            attempts += self.attempts_by_server(actions).values()
            now += 0.01
            if len(attempts) < RunningCall.max_attempts(1):
                rejected = make_answer(Verdict.REJECTED, 503)
                actions = self.call.on_attempt_result(attempts[-1], rejected, now)
            else:
                now = max(now, self.call.next_wake_at(now))
                actions = self.call.wake(now)
        self.assertEqual(attempts, list(range(RunningCall.max_attempts(1))))
