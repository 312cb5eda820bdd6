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


class Bench:
    """Drive one query by hand."""

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


def result_of(actions: list):  # noqa: ANN201
    return actions[-1].result


class RunningQueryTests(unittest.TestCase):
    def test_every_shard_is_asked_once_and_the_answer_is_whole(self) -> None:
        bench = Bench()
        sent = bench.requests(bench.query.start(1.0))
        self.assertEqual({r.shard for r in sent}, {"camphor/0", "longan/0"})
        self.assertEqual(bench.answer(sent[0]), [])
        result = result_of(bench.answer(sent[1]))
        self.assertIs(result.outcome, Outcome.ANSWERED)
        self.assertTrue(result.coverage.is_complete)
        self.assertEqual(len(result.hits), 2)

    def test_late_doubled_and_crossed_answers_are_dropped(self) -> None:
        bench = Bench()
        sent = bench.requests(bench.query.start(1.0))
        wrong = (
            {"attempt": 99},
            {"server": "another"},
            {"shard": "acacia/0"},
            {"index_version": "index-0"},
        )
        for changes in wrong:
            self.assertEqual(bench.answer(sent[0], **changes), [])
        bench.answer(sent[0])
        bench.answer(sent[0], hits=(Hit("doubled", 9.0),))
        result = result_of(bench.answer(sent[1]))
        self.assertNotIn("doubled", [hit.document for hit in result.hits])
        self.assertEqual(bench.query.dropped_answers, 5)

    def test_straggler_is_hedged_at_another_replica_and_cancelled(self) -> None:
        bench = Bench(extra_load=1.0)
        first, second = bench.requests(bench.query.start(1.0))
        bench.answer(second)
        wake = bench.query.next_wake(1.01)
        (hedge,) = bench.requests(bench.query.wake(wake))
        self.assertEqual(hedge.shard, first.shard)
        self.assertNotEqual(hedge.server, first.server)
        actions = bench.answer(hedge, now=wake + 0.01)
        self.assertIsInstance(actions[0].message, Cancel)
        self.assertEqual(actions[0].message.attempt, first.attempt)
        self.assertEqual(result_of(actions).extra_sends, 1)

    def test_no_hedge_without_budget(self) -> None:
        bench = Bench(extra_load=0.0)
        bench.query.start(1.0)
        self.assertEqual(bench.query.wake(1.1), [])

    def test_refusal_is_retried_at_another_replica_without_extra_load(self) -> None:
        bench = Bench(extra_load=0.0)
        sent = bench.requests(bench.query.start(1.0))
        actions = bench.answer(
            sent[0], outcome=Outcome.NOT_RUN, reason=Reason.SERVER_LOST
        )
        (again,) = bench.requests(actions)
        self.assertNotEqual(again.server, sent[0].server)

    def test_unknown_outcome_is_retried_only_by_budget(self) -> None:
        for extra_load, retries in ((0.0, 0), (1.0, 1)):
            bench = Bench(extra_load=extra_load)
            sent = bench.requests(bench.query.start(1.0))
            actions = bench.answer(
                sent[0], outcome=Outcome.UNKNOWN, reason=Reason.SERVER_LOST
            )
            self.assertEqual(len(bench.requests(actions)), retries)

    def test_sends_of_one_shard_are_bounded(self) -> None:
        bench = Bench(extra_load=1.0)
        waiting = bench.requests(bench.query.start(1.0))
        sends = 0
        now = 1.0
        while now < 1.9:
            now += 0.01
            for request in waiting:
                sends += 1
                actions = bench.answer(
                    request, now, outcome=Outcome.NOT_RUN, reason=Reason.SERVER_SHED
                )
                waiting = bench.requests(actions)
            waiting = waiting + bench.requests(bench.query.wake(now))
        self.assertLessEqual(sends, 8)

    def test_latency_class_answers_in_time_with_what_is_there(self) -> None:
        bench = Bench()
        object.__setattr__(bench.controller.targets, "coverage", 0.5)
        sent = bench.requests(bench.query.start(1.0))
        bench.answer(sent[0])
        result = result_of(bench.query.wake(1.136))
        self.assertIs(result.outcome, Outcome.ANSWERED)
        self.assertEqual((result.coverage.answered, result.coverage.shards), (1, 2))

    def test_too_little_coverage_is_never_dressed_as_an_answer(self) -> None:
        bench = Bench(deadline=2.0)
        bench.query.start(1.0)
        result = result_of(bench.query.wake(2.0))
        self.assertIs(result.outcome, Outcome.UNKNOWN)
        self.assertEqual(result.hits, ())

    def test_gone_version_restarts_once_on_the_newest_snapshot(self) -> None:
        bench = Bench()
        sent = bench.requests(bench.query.start(1.0))
        config = bench.versioned.config
        object.__setattr__(config, "index_version", "index-2")
        bench.versioned = VersionedConfig(2, config, b"")
        actions = bench.answer(
            sent[0], outcome=Outcome.NOT_RUN, reason=Reason.VERSION_GONE
        )
        again = bench.requests(actions)
        self.assertEqual({r.index_version for r in again}, {"index-2"})
        self.assertEqual(bench.answer(sent[1]), [], "the old snapshot's answer")
        bench.answer(again[0])
        result = result_of(bench.answer(again[1]))
        self.assertEqual((result.index_version, result.restarts), ("index-2", 1))

    def test_undelivered_request_goes_elsewhere(self) -> None:
        bench = Bench(extra_load=0.0)
        sent = bench.requests(bench.query.start(1.0))
        failed = DeliveryFailed("peer", sent[0], sent=False)
        (again,) = bench.requests(bench.query.receive(failed, 1.01))
        self.assertNotEqual(again.server, sent[0].server)

    def test_nothing_sent_is_not_run(self) -> None:
        bench = Bench()
        bench.router._owner_of = lambda server, config: None
        bench.query.start(1.0)
        result = result_of(bench.query.wake(2.0))
        self.assertEqual(
            (result.outcome, result.reason), (Outcome.NOT_RUN, Reason.NO_REPLICA)
        )

    def test_result_comes_once(self) -> None:
        bench = Bench()
        sent = bench.requests(bench.query.start(1.0))
        bench.answer(sent[0])
        actions = bench.answer(sent[1])
        self.assertEqual(sum(isinstance(a, Finish) for a in actions), 1)
        self.assertEqual(bench.query.wake(5.0), [])
