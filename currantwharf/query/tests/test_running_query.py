import random
import unittest

from currantwharf.config import VersionedConfig
from currantwharf.query import (
    ClassController,
    DeliveryFailed,
    Finish,
    Router,
    RunningQuery,
    SendToOwner,
)
from currantwharf.tests.builders import (
    make_answer,
    make_caller_request,
    make_versioned_config,
)
from currantwharf.wire import Cancel, Hit, Outcome, Reason, ShardRequest


class QueryHarness:
    """Run one query with given times and answers."""

    def __init__(self, deadline: float = 2.0, extra_load: float | None = None) -> None:
        self.versioned: VersionedConfig = make_versioned_config()
        self.silent: set[str] = set()
        self.router = Router(
            lambda: self.versioned,
            lambda server, config: f"owner-of-{server}",
            lambda peer: peer in self.silent,
            lambda server: False,
        )
        targets = self.versioned.config.classes["grain-lookup"].targets
        self.controller = ClassController(targets, 1.0)
        if extra_load is not None:
            self.controller.budget.share = extra_load
        self.query = RunningQuery(
            "q1",
            make_caller_request(deadline),
            self.router,
            self.controller,
            random.Random(1),
            1.0,
        )

    def requests(self, actions: list) -> list[ShardRequest]:
        return [
            action.message
            for action in actions
            if isinstance(action, SendToOwner)
            and isinstance(action.message, ShardRequest)
        ]

    def answer(self, request: ShardRequest, now: float = 1.01, **changes):  # noqa: ANN003, ANN201
        return self.query.receive(make_answer(request, **changes), now)


def get_result(actions: list):  # noqa: ANN201
    return actions[-1].result


class RunningQueryTests(unittest.TestCase):
    def test_every_shard_is_queried_once_and_the_answer_is_complete(self) -> None:
        harness = QueryHarness()
        sent = harness.requests(harness.query.start(1.0))
        self.assertEqual({r.shard for r in sent}, {"camphor/0", "longan/0"})
        self.assertEqual(harness.answer(sent[0]), [])
        result = get_result(harness.answer(sent[1]))
        self.assertIs(result.outcome, Outcome.ANSWERED)
        self.assertTrue(result.coverage.is_complete)
        self.assertEqual(len(result.hits), 2)

    def test_late_duplicate_and_mismatched_answers_are_dropped(self) -> None:
        harness = QueryHarness()
        sent = harness.requests(harness.query.start(1.0))
        mismatches = (
            {"attempt": 99},
            {"server": "another"},
            {"shard": "acacia/0"},
            {"index_version": "index-0"},
        )
        for changes in mismatches:
            self.assertEqual(harness.answer(sent[0], **changes), [])
        harness.answer(sent[0])
        harness.answer(sent[0], hits=(Hit("doubled", 9.0),))
        result = get_result(harness.answer(sent[1]))
        self.assertNotIn("doubled", [hit.document for hit in result.hits])
        self.assertEqual(harness.query.dropped_answers, 5)

    def test_straggler_is_hedged_on_another_replica_and_cancelled(self) -> None:
        harness = QueryHarness(extra_load=1.0)
        first, second = harness.requests(harness.query.start(1.0))
        harness.answer(second)
        wake = harness.query.next_wake_at(1.01)
        (hedge,) = harness.requests(harness.query.wake(wake))
        self.assertEqual(hedge.shard, first.shard)
        self.assertNotEqual(hedge.server, first.server)
        actions = harness.answer(hedge, now=wake + 0.01)
        self.assertIsInstance(actions[0].message, Cancel)
        self.assertEqual(actions[0].message.attempt, first.attempt)
        self.assertEqual(get_result(actions).extra_sends, 1)

    def test_no_hedge_without_budget(self) -> None:
        harness = QueryHarness(extra_load=0.0)
        harness.query.start(1.0)
        self.assertEqual(harness.query.wake(1.1), [])

    def test_refusal_is_retried_on_another_replica_without_extra_load(self) -> None:
        harness = QueryHarness(extra_load=0.0)
        sent = harness.requests(harness.query.start(1.0))
        actions = harness.answer(
            sent[0], outcome=Outcome.NOT_RUN, reason=Reason.SERVER_LOST
        )
        (retried,) = harness.requests(actions)
        self.assertNotEqual(retried.server, sent[0].server)

    def test_unknown_outcome_is_retried_only_within_the_budget(self) -> None:
        for extra_load, retries in ((0.0, 0), (1.0, 1)):
            harness = QueryHarness(extra_load=extra_load)
            sent = harness.requests(harness.query.start(1.0))
            actions = harness.answer(
                sent[0], outcome=Outcome.UNKNOWN, reason=Reason.SERVER_LOST
            )
            self.assertEqual(len(harness.requests(actions)), retries)

    def test_sends_of_one_shard_are_bounded(self) -> None:
        harness = QueryHarness(extra_load=1.0)
        waiting = harness.requests(harness.query.start(1.0))
        sends = 0
        now = 1.0
        while now < 1.9:
            now += 0.01
            for request in waiting:
                sends += 1
                actions = harness.answer(
                    request, now, outcome=Outcome.NOT_RUN, reason=Reason.SERVER_SHED
                )
                waiting = harness.requests(actions)
            waiting = waiting + harness.requests(harness.query.wake(now))
        self.assertLessEqual(sends, 8)

    def test_latency_class_answers_in_time_with_partial_coverage(self) -> None:
        harness = QueryHarness()
        object.__setattr__(harness.controller.targets, "coverage", 0.5)
        sent = harness.requests(harness.query.start(1.0))
        harness.answer(sent[0])
        result = get_result(harness.query.wake(1.136))
        self.assertIs(result.outcome, Outcome.ANSWERED)
        self.assertEqual((result.coverage.answered, result.coverage.shards), (1, 2))

    def test_too_little_coverage_is_never_reported_as_an_answer(self) -> None:
        harness = QueryHarness(deadline=2.0)
        harness.query.start(1.0)
        result = get_result(harness.query.wake(2.0))
        self.assertIs(result.outcome, Outcome.UNKNOWN)
        self.assertEqual(result.hits, ())

    def test_missing_index_version_restarts_once_on_the_newest_snapshot(self) -> None:
        harness = QueryHarness()
        sent = harness.requests(harness.query.start(1.0))
        config = harness.versioned.config
        object.__setattr__(config, "index_version", "index-2")
        harness.versioned = VersionedConfig(2, config, b"")
        actions = harness.answer(
            sent[0], outcome=Outcome.NOT_RUN, reason=Reason.VERSION_GONE
        )
        retried = harness.requests(actions)
        self.assertEqual({r.index_version for r in retried}, {"index-2"})
        self.assertEqual(harness.answer(sent[1]), [], "answer for the old snapshot")
        harness.answer(retried[0])
        result = get_result(harness.answer(retried[1]))
        self.assertEqual((result.index_version, result.restarts), ("index-2", 1))

    def test_undelivered_request_is_retried_on_another_replica(self) -> None:
        harness = QueryHarness(extra_load=0.0)
        sent = harness.requests(harness.query.start(1.0))
        failed = DeliveryFailed("peer", sent[0], sent=False)
        (retried,) = harness.requests(harness.query.receive(failed, 1.01))
        self.assertNotEqual(retried.server, sent[0].server)

    def test_query_without_any_send_is_not_run(self) -> None:
        harness = QueryHarness()
        harness.router._find_owner = lambda server, config: None
        harness.query.start(1.0)
        result = get_result(harness.query.wake(2.0))
        self.assertEqual(
            (result.outcome, result.reason), (Outcome.NOT_RUN, Reason.NO_REPLICA)
        )

    def test_result_is_returned_once(self) -> None:
        harness = QueryHarness()
        sent = harness.requests(harness.query.start(1.0))
        harness.answer(sent[0])
        actions = harness.answer(sent[1])
        self.assertEqual(sum(isinstance(a, Finish) for a in actions), 1)
        self.assertEqual(harness.query.wake(5.0), [])
