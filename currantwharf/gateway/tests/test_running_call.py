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


class CallCase(unittest.TestCase):
    def begin(self, route, services, entries=None, limits=None, **request):
        self.chooser = make_chooser(entries or replicas(*services), limits)
        self.call = RunningCall(
            make_request(**request), route, tuple(services), self.chooser, 0
        )
        return self.call.start(0.0)

    def sends(self, actions):
        return {a.entry.server: a.attempt for a in actions if type(a) is SendAttempt}

    def result(self, actions):
        results = [a.result for a in actions if type(a) is FinishCall]
        self.assertEqual(len(results), 1, actions)
        return results[0]


class QueryTests(CallCase):
    """Queries over many shards."""

    def setUp(self):
        self.first = self.sends(self.begin(make_route(SHARDS), SHARDS))

    def test_each_shard_is_asked_near_by(self):
        self.assertEqual(set(self.first), {"camphor-near", "longan-near"})

    def test_query_that_another_instance_may_have_sent_is_sent_once_less(self):
        actions = self.begin(make_route(SHARDS, most_servers=2), SHARDS, prior_sends=1)
        first = self.sends(actions)
        self.assertEqual(len(first), 2)
        late = self.call.wake(0.09)
        lost = self.call.on_attempt_result(
            first["camphor-near"], ConnectionFailure.BROKEN, 0.1
        )
        self.assertEqual(self.sends(late + lost), {})

    def test_what_another_instance_may_have_sent_is_not_called_not_run(self):
        route = make_route(SHARDS, most_servers=1)
        result = self.result(self.begin(route, SHARDS, prior_sends=1))
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)

    def test_whole_answer(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        actions = self.call.on_attempt_result(
            self.first["longan-near"], make_answer(), 0.02
        )
        result = self.result(actions)
        self.assertEqual(result.outcome, CallOutcome.ANSWERED)
        self.assertTrue(result.coverage.is_complete)
        self.assertEqual((result.sends, result.extras), (2, 0))

    def test_late_shard_is_hedged_once(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        wake_at = self.call.next_wake(0.01)
        self.assertLess(wake_at, 0.15)
        self.assertEqual(self.call.wake(wake_at - 0.001), [])
        hedges = self.sends(self.call.wake(wake_at))
        self.assertEqual(set(hedges), {"longan-far"})
        result = self.result(
            self.call.on_attempt_result(
                hedges["longan-far"], make_answer(), wake_at + 0.05
            )
        )
        self.assertEqual(result.extras, 1)

    def test_hedge_comes_while_another_server_can_still_meet_the_target(self):
        for attempt in self.first.values():
            self.call.on_attempt_result(attempt, make_answer(), 0.02)
        evidence = self.chooser.evidence(self.entry("longan-near"))
        evidence.samples, evidence.mean_s, evidence.deviation_s = 9, 0.02, 0.03
        evidence.seen_at = 1.0
        first = self.sends(self.call_again(target=0.13))
        far_s = self.chooser.elsewhere_s("longan")
        self.call.on_attempt_result(first["camphor-near"], make_answer(), 1.01)
        wake_at = self.call.next_wake(1.0)
        self.assertAlmostEqual(wake_at, 1.13 - far_s)
        self.assertEqual(set(self.sends(self.call.wake(wake_at))), {"longan-far"})

    def entry(self, server):
        return self.chooser.directory.get(server)

    def call_again(self, target):
        request = make_request(now=1.0, target=target)
        self.call = RunningCall(request, make_route(SHARDS), SHARDS, self.chooser, 99)
        return self.call.start(1.0)

    def test_incomplete_answer_goes_out_at_the_target(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        result = self.result(self.call.wake(0.15))
        self.assertEqual(result.outcome, CallOutcome.ANSWERED)
        self.assertEqual((result.coverage.answered, result.coverage.shards), (1, 2))

    def test_too_little_coverage_is_not_answered(self):
        first = self.sends(self.begin(make_route(SHARDS, least_coverage=0.9), SHARDS))
        self.call.on_attempt_result(first["camphor-near"], make_answer(), 0.01)
        self.assertEqual([a for a in self.call.wake(0.15) if type(a) is FinishCall], [])
        result = self.result(self.call.wake(1.0))
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)
        self.assertEqual(result.answers, ())

    def test_query_that_can_not_reach_its_coverage_ends_at_once(self):
        route = make_route(SHARDS, least_coverage=0.9, most_servers=1)
        first = self.sends(self.begin(route, SHARDS))
        actions = self.call.on_attempt_result(
            first["camphor-near"], ConnectionFailure.BROKEN, 0.01
        )
        self.assertEqual(self.result(actions).outcome, CallOutcome.TIMED_OUT)

    def test_query_that_can_still_reach_its_coverage_goes_on(self):
        route = make_route(SHARDS, least_coverage=0.5, most_servers=1)
        first = self.sends(self.begin(route, SHARDS))
        actions = self.call.on_attempt_result(
            first["camphor-near"], ConnectionFailure.BROKEN, 0.01
        )
        self.assertEqual(actions, [])

    def test_failures_of_a_server_are_no_parts(self):
        for answer in (
            make_answer(Verdict.FAILED, 500),
            make_answer(Verdict.SPOILED),
            make_answer(Verdict.REJECTED, 503),
            make_answer(Verdict.ANSWERED, 404),
            make_answer(Verdict.MISDIRECTED, 421),
        ):
            with self.subTest(verdict=answer.verdict):
                self.setUp()
                again = self.sends(
                    self.call.on_attempt_result(
                        self.first["camphor-near"], answer, 0.01
                    )
                )
                self.assertEqual(set(again), {"camphor-far"})

    def test_no_more_servers_than_the_route_allows(self):
        lost = ConnectionFailure.BROKEN
        again = self.sends(
            self.call.on_attempt_result(self.first["camphor-near"], lost, 0.01)
        )
        actions = self.call.on_attempt_result(again["camphor-far"], lost, 0.02)
        self.assertEqual(actions, [])
        self.assertEqual(self.call.parts[0].ran_on, 2)

    def test_spent_budget_hedges_nothing(self):
        none = GatewayLimits(repeat_ratio=0.0, repeat_slack=0.0)
        self.begin(make_route(SHARDS), SHARDS, limits=none)
        self.assertEqual(self.sends(self.call.wake(0.14)), {})

    def test_late_answers_after_the_result_change_nothing(self):
        self.call.on_attempt_result(self.first["camphor-near"], make_answer(), 0.01)
        self.result(self.call.wake(0.15))
        late = self.call.on_attempt_result(
            self.first["longan-near"], make_answer(), 0.2
        )
        self.assertEqual(late, [])

    def test_nothing_sent_is_not_run(self):
        entries = [make_entry("leaving", "camphor", leaving=True)]
        self.begin(make_route(SHARDS), SHARDS, entries)
        result = self.result(self.call.wake(1.0))
        self.assertEqual(result.outcome, CallOutcome.NOT_RUN)


class SingleTests(CallCase):
    """Requests to one service."""

    def order(self):
        route = make_route(idempotent=False)
        return self.sends(self.begin(route, ("camphor",)))["camphor-near"]

    def test_order_is_never_hedged(self):
        self.order()
        self.assertEqual(self.call.wake(0.9), [])

    def test_order_in_doubt_is_not_sent_again(self):
        for lost in ConnectionFailure:
            if not lost.may_have_been_sent:
                continue
            with self.subTest(lost=lost):
                result = self.result(self.call_of(lost))
                self.assertEqual(result.outcome, CallOutcome.UNKNOWN)
                self.assertEqual(result.sends, 1)

    def call_of(self, failure):
        attempt = self.order()
        return self.call.on_attempt_result(attempt, failure, 0.01)

    def test_order_is_sent_again_after_a_proof(self):
        for proof in (
            make_answer(Verdict.REJECTED, 503),
            make_answer(Verdict.MISDIRECTED, 421),
            ConnectionFailure.REFUSED,
            ConnectionFailure.NOT_CONNECTED,
        ):
            with self.subTest(proof=proof):
                again = self.sends(self.call_of(proof))
                self.assertEqual(set(again), {"camphor-far"})

    def test_order_that_ran_is_relayed_with_its_failure(self):
        failed = make_answer(Verdict.FAILED, 500)
        result = self.result(self.call_of(failed))
        self.assertEqual(result.answers, (failed,))

    def test_spoiled_order_is_unknown(self):
        spoiled = make_answer(Verdict.SPOILED)
        result = self.result(self.call_of(spoiled))
        self.assertEqual(result.outcome, CallOutcome.UNKNOWN)

    def test_rejected_by_all_is_refused_at_once(self):
        rejected = make_answer(Verdict.REJECTED, 503)
        again = self.sends(self.call_of(rejected))
        result = self.result(
            self.call.on_attempt_result(again["camphor-far"], rejected, 0.02)
        )
        self.assertEqual(result.outcome, CallOutcome.NOT_RUN)
        self.assertEqual(result.reason, CallReason.OVERLOADED)
        self.assertGreater(result.retry_after_s, 0)

    def test_no_server_is_refused_at_once(self):
        entries = [make_entry("leaving", "camphor", leaving=True)]
        actions = self.begin(make_route(), ("camphor",), entries)
        self.assertEqual(self.result(actions).outcome, CallOutcome.NOT_RUN)

    def test_timeout_of_the_route(self):
        self.order()
        result = self.result(self.call.wake(1.0))
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)

    def test_stopping_instance_answers_what_is_under_way(self):
        self.order()
        result = self.result(self.call.give_up())
        self.assertEqual(result.outcome, CallOutcome.TIMED_OUT)
        self.assertEqual(self.call.give_up(), [])

    def test_request_that_crashes_servers_goes_no_further(self):
        first = self.sends(self.begin(make_route(), ("camphor",)))
        for server in ("a", "b", "c"):
            self.chooser.crash_watch.table.record_loss("f", server, 0.0)
        lost = ConnectionFailure.BROKEN
        actions = self.call.on_attempt_result(first["camphor-near"], lost, 0.01)
        self.assertEqual(self.sends(actions), {})
