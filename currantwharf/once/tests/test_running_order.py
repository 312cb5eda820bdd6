import unittest
from typing import Any

from currantwharf.once import RunningOrder
from currantwharf.query import DeliveryFailed, Router, SendToOwner
from currantwharf.tests.builders import (
    make_answer,
    make_caller_request,
    make_versioned_config,
)
from currantwharf.wire import ClaimReply, ClaimResult, Outcome, Reason, ShardRequest

HOLDERS = ("i0", "i1", "i2")


class OrderBench:
    """Drive one order by hand."""

    def __init__(self, resend: bool = False) -> None:
        versioned = make_versioned_config()
        self.router = Router(
            lambda: versioned,
            lambda server, config: f"owner-of-{server}",
            lambda peer: False,
            lambda server: False,
        )
        request = make_caller_request(2.0, "block-order", resend)
        self.order = RunningOrder(
            "t1", request, HOLDERS, self.router, lambda result: b"{}", 1.0
        )
        self.started = self.order.start(1.0)

    def reply(self, holder: str, granted: bool, reason: Reason = Reason.NONE) -> list:
        message = ClaimReply("r1", "t1", holder, granted, reason)
        return self.order.receive(message, 1.01)

    def send(self) -> ShardRequest:
        self.reply("i0", True)
        (action,) = self.reply("i1", True)
        return action.message


def results_told(actions: list) -> list[ClaimResult]:
    messages = [getattr(action, "message", None) for action in actions]
    return [m for m in messages if isinstance(m, ClaimResult)]


class RunningOrderTests(unittest.TestCase):
    def outcome(self, actions: list[Any]) -> tuple[Outcome, Reason]:
        result = actions[-1].result
        return result.outcome, result.reason

    def test_nothing_is_sent_before_a_majority_grants(self) -> None:
        bench = OrderBench()
        self.assertEqual(bench.reply("i0", True), [])
        self.assertEqual(bench.reply("i0", True), [], "the same holder twice")
        (action,) = bench.reply("i1", True)
        self.assertIsInstance(action, SendToOwner)

    def test_answer_is_told_to_the_holders(self) -> None:
        bench = OrderBench()
        actions = bench.order.receive(make_answer(bench.send()), 1.1)
        self.assertEqual(self.outcome(actions)[0], Outcome.ANSWERED)
        self.assertEqual([r.ran for r in results_told(actions)], [True] * 3)

    def test_unknown_outcome_is_never_sent_again(self) -> None:
        bench = OrderBench()
        sent = bench.send()
        lost = make_answer(sent, Outcome.UNKNOWN, Reason.SERVER_LOST)
        actions = bench.order.receive(lost, 1.1)
        self.assertEqual(self.outcome(actions), (Outcome.UNKNOWN, Reason.SERVER_LOST))
        self.assertEqual([r.ran for r in results_told(actions)], [True] * 3)

    def test_proved_refusal_goes_to_another_replica(self) -> None:
        bench = OrderBench()
        first = bench.send()
        refused = make_answer(first, Outcome.NOT_RUN, Reason.SERVER_LOST)
        (action,) = bench.order.receive(refused, 1.1)
        self.assertNotEqual(action.message.server, first.server)

    def test_refused_everywhere_is_not_run_and_the_claim_given_back(self) -> None:
        bench = OrderBench()
        sent, actions = bench.send(), []
        for _ in range(2):
            refused = make_answer(sent, Outcome.NOT_RUN, Reason.SERVER_LOST)
            actions = bench.order.receive(refused, 1.1)
            sent = actions[0].message
        self.assertEqual(self.outcome(actions)[0], Outcome.NOT_RUN)
        self.assertEqual([r.ran for r in results_told(actions)], [False] * 3)

    def test_delivery_in_doubt_waits_and_is_unknown_at_the_deadline(self) -> None:
        bench = OrderBench()
        failed = DeliveryFailed("peer", bench.send(), sent=True)
        self.assertEqual(bench.order.receive(failed, 1.1), [])
        actions = bench.order.wake(2.0)
        self.assertEqual(self.outcome(actions), (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_delivery_that_never_left_is_tried_elsewhere(self) -> None:
        bench = OrderBench()
        first = bench.send()
        failed = DeliveryFailed("peer", first, sent=False)
        (action,) = bench.order.receive(failed, 1.1)
        self.assertNotEqual(action.message.server, first.server)

    def test_refused_claim_is_unknown_since_another_try_may_run(self) -> None:
        for resend in (False, True):
            bench = OrderBench(resend)
            bench.reply("i0", False, Reason.CLAIM_REFUSED)
            actions = bench.reply("i1", False, Reason.CLAIM_REFUSED)
            expected = (Outcome.UNKNOWN, Reason.CLAIM_REFUSED)
            self.assertEqual(self.outcome(actions), expected)

    def test_grant_after_the_end_sends_nothing(self) -> None:
        bench = OrderBench()
        bench.reply("i0", True)
        bench.order.wake(2.0)
        self.assertEqual(bench.reply("i1", True), [])

    def test_pause_past_the_deadline_sends_nothing(self) -> None:
        bench = OrderBench()
        bench.reply("i0", True)
        late = ClaimReply("r1", "t1", "i1", True)
        actions = bench.order.receive(late, 32.0)
        self.assertEqual(self.outcome(actions), (Outcome.NOT_RUN, Reason.DEADLINE))
