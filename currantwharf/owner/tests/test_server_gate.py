import unittest

from currantwharf.owner import (
    Abandon,
    BackendAnswer,
    BackendItem,
    CallFailed,
    Dispatch,
    ItemOutcome,
    Refuse,
    ServerScheduler,
    WakeAt,
)
from currantwharf.owner.server_gate import TAKEOVER_WAIT_S
from currantwharf.tests.builders import make_shard_request
from currantwharf.wire import Cancel, Reason


def make_gate(slots: int = 2, batch: int = 1, wait_s: float = 0.0) -> ServerScheduler:
    return ServerScheduler("camphor-0-0", slots, batch, 0.0, wait_s)


def make_backend_answer(
    outcome: ItemOutcome = ItemOutcome.ANSWERED,
    boot_id: str = "boot-1",
    service_ms: float = 10.0,
    leaving: bool = False,
) -> BackendAnswer:
    item = BackendItem("q1", 1, "camphor/0", "index-1", outcome)
    return BackendAnswer(boot_id, (item,), service_ms, leaving)


def dispatches(actions: list) -> list[Dispatch]:
    return [action for action in actions if isinstance(action, Dispatch)]


def warm_up(gate: ServerScheduler, now: float = 1.0) -> float:
    """Keep the gate busy until it has reached its slots, then let it run empty."""
    number = 0
    while gate.limit.value < gate.limit.slots:
        assert number < 1000, "the limit did not grow"
        while gate.queue_length < gate.limit.slots:
            number += 1
            gate.submit(make_shard_request(f"w{number}"), now)
        now += 0.01
        gate.finish_call(min(gate.in_flight), make_backend_answer(), now)
    while gate.in_flight:
        now += 0.01
        gate.finish_call(min(gate.in_flight), make_backend_answer(), now)
    return now


class ServerGateTests(unittest.TestCase):
    def test_cold_server_gets_one_request_at_a_time(self) -> None:
        gate = make_gate(slots=4)
        for number in range(5):
            gate.submit(make_shard_request(f"q{number}"), 1.0)
        self.assertEqual(len(gate.in_flight), 1)
        self.assertEqual(gate.queue_length, 4)

    def test_limit_grows_to_the_slots_and_not_beyond(self) -> None:
        gate = make_gate(slots=3)
        now = warm_up(gate)
        for number in range(9):
            gate.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(gate.in_flight), 3)

    def test_new_boot_is_cold_again(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        (first,) = dispatches(gate.submit(make_shard_request("a"), now))
        gate.finish_call(first.call, make_backend_answer(boot_id="boot-2"), now)
        for number in range(3):
            gate.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(gate.in_flight), 1)

    def test_server_that_is_slow_without_warning_is_cold_again(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        for name in ("a", "b"):
            (sent,) = dispatches(gate.submit(make_shard_request(name), now))
            gate.finish_call(sent.call, make_backend_answer(service_ms=100.0), now)
        self.assertEqual(gate.limit.value, 1.0)

    def test_server_not_heard_of_late_gets_one_request_first(self) -> None:
        gate = make_gate()
        now = warm_up(gate) + 5.0
        for number in range(3):
            gate.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(gate.in_flight), 1)

    def test_earliest_deadline_goes_first(self) -> None:
        gate = make_gate()
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        gate.submit(make_shard_request("late", budget_ms=900), 1.0)
        gate.submit(make_shard_request("soon", budget_ms=300), 1.0)
        (second,) = dispatches(
            gate.finish_call(first.call, make_backend_answer(), 1.01)
        )
        self.assertEqual(second.requests[0].query, "soon")

    def test_expired_request_is_refused_and_not_sent(self) -> None:
        gate = make_gate()
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        gate.submit(make_shard_request("b", budget_ms=100), 1.0)
        actions = gate.finish_call(first.call, make_backend_answer(), 2.0)
        self.assertEqual(
            actions, [Refuse(make_shard_request("b", budget_ms=100), Reason.DEADLINE)]
        )

    def test_request_that_cannot_finish_is_refused_at_once(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        actions = gate.submit(make_shard_request("a", budget_ms=2), now)
        self.assertEqual(actions[0].reason, Reason.OVERLOADED)

    def test_shedding_halves_the_limit_and_paces_below_one(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        for name in ("a", "b", "c"):
            sent = dispatches(gate.submit(make_shard_request(name), now))
            if sent:
                gate.finish_call(
                    sent[0].call, make_backend_answer(ItemOutcome.SHED), now
                )
            now += 0.02
        self.assertEqual(gate.limit.value, 0.25)
        actions = gate.submit(make_shard_request("d"), now + 1)
        self.assertEqual(len(dispatches(actions)), 1)
        gate.finish_call(actions[0].call, make_backend_answer(), now + 1.01)
        waiting = gate.submit(make_shard_request("e"), now + 1.01)
        self.assertIsInstance(waiting[0], WakeAt)

    def test_lost_server_refuses_and_is_tried_again(self) -> None:
        gate = make_gate()
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        gate.submit(make_shard_request("b"), 1.0)
        actions = gate.finish_call(first.call, CallFailed(sent=False), 1.0)
        self.assertEqual([a.reason for a in actions], [Reason.SERVER_LOST])
        refused = gate.submit(make_shard_request("c"), 1.1)
        self.assertEqual(refused[0].reason, Reason.SERVER_LOST)
        tried = gate.submit(make_shard_request("d"), 1.3)
        self.assertEqual(len(dispatches(tried)), 1)

    def test_leaving_server_gets_nothing_new(self) -> None:
        gate = make_gate()
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        gate.submit(make_shard_request("b"), 1.0)
        actions = gate.finish_call(first.call, make_backend_answer(leaving=True), 1.1)
        self.assertEqual([a.reason for a in actions], [Reason.SERVER_LEAVING])
        refused = gate.submit(make_shard_request("c"), 1.2)
        self.assertEqual(refused[0].reason, Reason.SERVER_LEAVING)

    def test_new_owner_waits_until_the_former_lets_go(self) -> None:
        gate = make_gate(wait_s=TAKEOVER_WAIT_S)
        actions = gate.submit(make_shard_request("a"), 0.1)
        self.assertEqual(actions, [WakeAt(TAKEOVER_WAIT_S)])
        opened = gate.take_over(2.0, "boot-1", 0.15)
        self.assertEqual(len(dispatches(opened)), 1)

    def test_new_owner_opens_cold_when_nobody_lets_go(self) -> None:
        gate = make_gate(wait_s=TAKEOVER_WAIT_S)
        for name in ("a", "b"):
            gate.submit(make_shard_request(name), 0.1)
        self.assertEqual(len(dispatches(gate.dispatch_waiting(TAKEOVER_WAIT_S))), 1)

    def test_doubtful_owner_halves_a_warm_server(self) -> None:
        gate = make_gate(slots=4)
        now = warm_up(gate)
        gate.set_ownership_uncertain(True)
        for number in range(8):
            gate.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(gate.in_flight), 2)
        gate.set_ownership_uncertain(False)
        gate.dispatch_waiting(now)
        self.assertEqual(len(gate.in_flight), 4)

    def test_doubtful_owner_leaves_a_cold_server_alone(self) -> None:
        gate = make_gate()
        gate.set_ownership_uncertain(True)
        (refused,) = gate.submit(make_shard_request("a"), 1.0)
        self.assertEqual(refused.reason, Reason.NOT_OWNER)

    def test_server_that_turns_cold_in_doubt_is_left_alone(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        gate.set_ownership_uncertain(True)
        (sent,) = dispatches(gate.submit(make_shard_request("a"), now))
        gate.finish_call(sent.call, make_backend_answer(boot_id="boot-2"), now)
        (refused,) = gate.submit(make_shard_request("b"), now)
        self.assertEqual(refused.reason, Reason.NOT_OWNER)

    def test_one_call_carries_many_requests(self) -> None:
        gate = make_gate(batch=8)
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        for number in range(10):
            gate.submit(make_shard_request(f"q{number}"), 1.0)
        (second,) = dispatches(
            gate.finish_call(first.call, make_backend_answer(), 1.01)
        )
        self.assertEqual(len(second.requests), 8)

    def test_non_idempotent_request_travels_alone(self) -> None:
        gate = make_gate(batch=8)
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        for name in ("b", "c"):
            gate.submit(make_shard_request(name, idempotent=False), 1.0)
        (second,) = dispatches(
            gate.finish_call(first.call, make_backend_answer(), 1.01)
        )
        self.assertEqual(len(second.requests), 1)

    def test_cancelled_request_is_not_sent(self) -> None:
        gate = make_gate()
        (first,) = dispatches(gate.submit(make_shard_request("a"), 1.0))
        gate.submit(make_shard_request("b"), 1.0)
        gate.cancel(Cancel("b", 1, "camphor-0-0"), 1.0)
        self.assertEqual(gate.finish_call(first.call, make_backend_answer(), 1.01), [])

    def test_call_that_is_silent_beside_its_siblings_is_given_up(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        (silent,) = dispatches(gate.submit(make_shard_request("a"), now))
        given_up = []
        for number in range(30):
            actions = gate.submit(make_shard_request(f"q{number}"), now)
            now += 0.01
            (sibling,) = dispatches(actions)
            actions = gate.finish_call(sibling.call, make_backend_answer(), now)
            given_up.extend(a for a in actions if isinstance(a, Abandon))
        self.assertIn(Abandon(silent.call), given_up)
        gate.finish_call(silent.call, CallFailed(True, True, silent=True), now)
        self.assertEqual(gate.limit.value, 2.0, "the server is not to blame")

    def test_call_to_a_slow_server_is_not_given_up(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        gate.submit(make_shard_request("a"), now)
        (second,) = dispatches(gate.submit(make_shard_request("b"), now))
        actions = gate.finish_call(second.call, make_backend_answer(), now + 1)
        self.assertEqual(actions, [])

    def test_order_is_never_given_up(self) -> None:
        gate = make_gate()
        now = warm_up(gate)
        gate.submit(make_shard_request("a", idempotent=False), now)
        (second,) = dispatches(gate.submit(make_shard_request("b"), now + 0.2))
        actions = gate.finish_call(second.call, make_backend_answer(), now + 0.3)
        self.assertEqual(actions, [])

    def test_running_order_is_never_aborted(self) -> None:
        gate = make_gate()
        gate.submit(make_shard_request("a", idempotent=False), 1.0)
        self.assertEqual(gate.cancel(Cancel("a", 1, "camphor-0-0"), 1.0), [])
