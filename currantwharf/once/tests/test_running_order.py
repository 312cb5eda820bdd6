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


class OrderHarness:
    """Run one order with given replies and answers."""

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


def get_claim_results(actions: list) -> list[ClaimResult]:
    messages = [getattr(action, "message", None) for action in actions]
    return [m for m in messages if isinstance(m, ClaimResult)]


class RunningOrderTests(unittest.TestCase):
    def outcome(self, actions: list[Any]) -> tuple[Outcome, Reason]:
        result = actions[-1].result
        return result.outcome, result.reason

    def test_nothing_is_sent_before_a_majority_grants(self) -> None:
        harness = OrderHarness()
        self.assertEqual(harness.reply("i0", True), [])
        self.assertEqual(harness.reply("i0", True), [], "the same holder twice")
        (action,) = harness.reply("i1", True)
        self.assertIsInstance(action, SendToOwner)

    def test_answer_is_sent_to_the_holders(self) -> None:
        harness = OrderHarness()
        actions = harness.order.receive(make_answer(harness.send()), 1.1)
        self.assertEqual(self.outcome(actions)[0], Outcome.ANSWERED)
        self.assertEqual([r.ran for r in get_claim_results(actions)], [True] * 3)

    def test_order_with_unknown_outcome_is_never_sent_again(self) -> None:
        harness = OrderHarness()
        sent = harness.send()
        lost = make_answer(sent, Outcome.UNKNOWN, Reason.SERVER_LOST)
        actions = harness.order.receive(lost, 1.1)
        self.assertEqual(self.outcome(actions), (Outcome.UNKNOWN, Reason.SERVER_LOST))
        self.assertEqual([r.ran for r in get_claim_results(actions)], [True] * 3)

    def test_order_that_is_proved_not_run_is_sent_to_another_replica(self) -> None:
        harness = OrderHarness()
        first = harness.send()
        refused = make_answer(first, Outcome.NOT_RUN, Reason.SERVER_LOST)
        (action,) = harness.order.receive(refused, 1.1)
        self.assertNotEqual(action.message.server, first.server)

    def test_order_refused_by_all_replicas_is_not_run_and_releases_its_claim(
        self,
    ) -> None:
        harness = OrderHarness()
        sent, actions = harness.send(), []
        for _ in range(2):
            refused = make_answer(sent, Outcome.NOT_RUN, Reason.SERVER_LOST)
            actions = harness.order.receive(refused, 1.1)
            sent = actions[0].message
        self.assertEqual(self.outcome(actions)[0], Outcome.NOT_RUN)
        self.assertEqual([r.ran for r in get_claim_results(actions)], [False] * 3)

    def test_uncertain_delivery_is_unknown_at_the_deadline(self) -> None:
        harness = OrderHarness()
        failed = DeliveryFailed("peer", harness.send(), sent=True)
        self.assertEqual(harness.order.receive(failed, 1.1), [])
        actions = harness.order.wake(2.0)
        self.assertEqual(self.outcome(actions), (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_unsent_delivery_is_retried_on_another_replica(self) -> None:
        harness = OrderHarness()
        first = harness.send()
        failed = DeliveryFailed("peer", first, sent=False)
        (action,) = harness.order.receive(failed, 1.1)
        self.assertNotEqual(action.message.server, first.server)

    def test_refused_claim_is_unknown_because_another_attempt_may_run(self) -> None:
        for resend in (False, True):
            harness = OrderHarness(resend)
            harness.reply("i0", False, Reason.CLAIM_REFUSED)
            actions = harness.reply("i1", False, Reason.CLAIM_REFUSED)
            expected = (Outcome.UNKNOWN, Reason.CLAIM_REFUSED)
            self.assertEqual(self.outcome(actions), expected)

    def test_grant_after_the_result_sends_nothing(self) -> None:
        harness = OrderHarness()
        harness.reply("i0", True)
        harness.order.wake(2.0)
        self.assertEqual(harness.reply("i1", True), [])

    def test_pause_past_the_deadline_sends_nothing(self) -> None:
        harness = OrderHarness()
        harness.reply("i0", True)
        late = ClaimReply("r1", "t1", "i1", True)
        actions = harness.order.receive(late, 32.0)
        self.assertEqual(self.outcome(actions), (Outcome.NOT_RUN, Reason.DEADLINE))
