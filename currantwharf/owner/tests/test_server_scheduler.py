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
from currantwharf.owner.server_scheduler import TAKEOVER_WAIT_S
from currantwharf.tests.builders import make_shard_request
from currantwharf.wire import Cancel, Reason


def make_scheduler(
    slots: int = 2, batch: int = 1, wait_s: float = 0.0
) -> ServerScheduler:
    return ServerScheduler("camphor-0-0", slots, batch, 0.0, wait_s)


def make_backend_answer(
    outcome: ItemOutcome = ItemOutcome.ANSWERED,
    boot_id: str = "boot-1",
    service_ms: float = 10.0,
    leaving: bool = False,
) -> BackendAnswer:
    item = BackendItem("q1", 1, "camphor/0", "index-1", outcome)
    return BackendAnswer(boot_id, (item,), service_ms, leaving)


def get_dispatches(actions: list) -> list[Dispatch]:
    return [action for action in actions if isinstance(action, Dispatch)]


def warm_up(scheduler: ServerScheduler, now: float = 1.0) -> float:
    """Keep the scheduler busy until the limit reaches the slots, then drain it."""
    number = 0
    while scheduler.limit.value < scheduler.limit.slots:
        assert number < 1000, "the limit did not grow"
        while scheduler.queue_length < scheduler.limit.slots:
            number += 1
            scheduler.submit(make_shard_request(f"w{number}"), now)
        now += 0.01
        scheduler.finish_call(min(scheduler.in_flight), make_backend_answer(), now)
    while scheduler.in_flight:
        now += 0.01
        scheduler.finish_call(min(scheduler.in_flight), make_backend_answer(), now)
    return now


class ServerSchedulerTests(unittest.TestCase):
    def test_cold_server_gets_one_request_at_a_time(self) -> None:
        scheduler = make_scheduler(slots=4)
        for number in range(5):
            scheduler.submit(make_shard_request(f"q{number}"), 1.0)
        self.assertEqual(len(scheduler.in_flight), 1)
        self.assertEqual(scheduler.queue_length, 4)

    def test_limit_grows_to_the_slots_and_not_beyond(self) -> None:
        scheduler = make_scheduler(slots=3)
        now = warm_up(scheduler)
        for number in range(9):
            scheduler.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(scheduler.in_flight), 3)

    def test_new_boot_is_cold_again(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), now))
        scheduler.finish_call(first.call, make_backend_answer(boot_id="boot-2"), now)
        for number in range(3):
            scheduler.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(scheduler.in_flight), 1)

    def test_server_that_becomes_slow_is_cold_again(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        for name in ("a", "b"):
            (sent,) = get_dispatches(scheduler.submit(make_shard_request(name), now))
            scheduler.finish_call(sent.call, make_backend_answer(service_ms=100.0), now)
        self.assertEqual(scheduler.limit.value, 1.0)

    def test_server_without_a_recent_answer_gets_one_request_first(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler) + 5.0
        for number in range(3):
            scheduler.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(scheduler.in_flight), 1)

    def test_earliest_deadline_goes_first(self) -> None:
        scheduler = make_scheduler()
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        scheduler.submit(make_shard_request("late", budget_ms=900), 1.0)
        scheduler.submit(make_shard_request("soon", budget_ms=300), 1.0)
        (second,) = get_dispatches(
            scheduler.finish_call(first.call, make_backend_answer(), 1.01)
        )
        self.assertEqual(second.requests[0].query, "soon")

    def test_expired_request_is_refused_and_not_sent(self) -> None:
        scheduler = make_scheduler()
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        scheduler.submit(make_shard_request("b", budget_ms=100), 1.0)
        actions = scheduler.finish_call(first.call, make_backend_answer(), 2.0)
        self.assertEqual(
            actions, [Refuse(make_shard_request("b", budget_ms=100), Reason.DEADLINE)]
        )

    def test_request_that_cannot_finish_is_refused_at_once(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        actions = scheduler.submit(make_shard_request("a", budget_ms=2), now)
        self.assertEqual(actions[0].reason, Reason.OVERLOADED)

    def test_shedding_halves_the_limit_and_paces_below_one(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        for name in ("a", "b", "c"):
            sent = get_dispatches(scheduler.submit(make_shard_request(name), now))
            if sent:
                scheduler.finish_call(
                    sent[0].call, make_backend_answer(ItemOutcome.SHED), now
                )
            now += 0.02
        self.assertEqual(scheduler.limit.value, 0.25)
        actions = scheduler.submit(make_shard_request("d"), now + 1)
        self.assertEqual(len(get_dispatches(actions)), 1)
        scheduler.finish_call(actions[0].call, make_backend_answer(), now + 1.01)
        waiting = scheduler.submit(make_shard_request("e"), now + 1.01)
        self.assertIsInstance(waiting[0], WakeAt)

    def test_requests_to_a_lost_server_are_refused_until_its_retry(self) -> None:
        scheduler = make_scheduler()
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        scheduler.submit(make_shard_request("b"), 1.0)
        actions = scheduler.finish_call(first.call, CallFailed(sent=False), 1.0)
        self.assertEqual([a.reason for a in actions], [Reason.SERVER_LOST])
        refused = scheduler.submit(make_shard_request("c"), 1.1)
        self.assertEqual(refused[0].reason, Reason.SERVER_LOST)
        tried = scheduler.submit(make_shard_request("d"), 1.3)
        self.assertEqual(len(get_dispatches(tried)), 1)

    def test_leaving_server_gets_no_new_requests(self) -> None:
        scheduler = make_scheduler()
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        scheduler.submit(make_shard_request("b"), 1.0)
        actions = scheduler.finish_call(
            first.call, make_backend_answer(leaving=True), 1.1
        )
        self.assertEqual([a.reason for a in actions], [Reason.SERVER_LEAVING])
        refused = scheduler.submit(make_shard_request("c"), 1.2)
        self.assertEqual(refused[0].reason, Reason.SERVER_LEAVING)

    def test_new_owner_waits_until_the_previous_one_releases(self) -> None:
        scheduler = make_scheduler(wait_s=TAKEOVER_WAIT_S)
        actions = scheduler.submit(make_shard_request("a"), 0.1)
        self.assertEqual(actions, [WakeAt(TAKEOVER_WAIT_S)])
        opened = scheduler.take_over(2.0, "boot-1", 0.15)
        self.assertEqual(len(get_dispatches(opened)), 1)

    def test_new_owner_starts_cold_without_a_release(self) -> None:
        scheduler = make_scheduler(wait_s=TAKEOVER_WAIT_S)
        for name in ("a", "b"):
            scheduler.submit(make_shard_request(name), 0.1)
        self.assertEqual(
            len(get_dispatches(scheduler.dispatch_waiting(TAKEOVER_WAIT_S))), 1
        )

    def test_uncertain_owner_halves_the_limit_of_a_warm_server(self) -> None:
        scheduler = make_scheduler(slots=4)
        now = warm_up(scheduler)
        scheduler.set_ownership_uncertain(True)
        for number in range(8):
            scheduler.submit(make_shard_request(f"q{number}"), now)
        self.assertEqual(len(scheduler.in_flight), 2)
        scheduler.set_ownership_uncertain(False)
        scheduler.dispatch_waiting(now)
        self.assertEqual(len(scheduler.in_flight), 4)

    def test_uncertain_owner_refuses_requests_to_a_cold_server(self) -> None:
        scheduler = make_scheduler()
        scheduler.set_ownership_uncertain(True)
        (refused,) = scheduler.submit(make_shard_request("a"), 1.0)
        self.assertEqual(refused.reason, Reason.NOT_OWNER)

    def test_uncertain_owner_refuses_requests_once_the_server_is_cold(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        scheduler.set_ownership_uncertain(True)
        (sent,) = get_dispatches(scheduler.submit(make_shard_request("a"), now))
        scheduler.finish_call(sent.call, make_backend_answer(boot_id="boot-2"), now)
        (refused,) = scheduler.submit(make_shard_request("b"), now)
        self.assertEqual(refused.reason, Reason.NOT_OWNER)

    def test_one_call_carries_many_requests(self) -> None:
        scheduler = make_scheduler(batch=8)
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        for number in range(10):
            scheduler.submit(make_shard_request(f"q{number}"), 1.0)
        (second,) = get_dispatches(
            scheduler.finish_call(first.call, make_backend_answer(), 1.01)
        )
        self.assertEqual(len(second.requests), 8)

    def test_non_idempotent_request_is_sent_in_its_own_call(self) -> None:
        scheduler = make_scheduler(batch=8)
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        for name in ("b", "c"):
            scheduler.submit(make_shard_request(name, idempotent=False), 1.0)
        (second,) = get_dispatches(
            scheduler.finish_call(first.call, make_backend_answer(), 1.01)
        )
        self.assertEqual(len(second.requests), 1)

    def test_cancelled_request_is_not_sent(self) -> None:
        scheduler = make_scheduler()
        (first,) = get_dispatches(scheduler.submit(make_shard_request("a"), 1.0))
        scheduler.submit(make_shard_request("b"), 1.0)
        scheduler.cancel(Cancel("b", 1, "camphor-0-0"), 1.0)
        self.assertEqual(
            scheduler.finish_call(first.call, make_backend_answer(), 1.01), []
        )

    def test_call_that_is_silent_while_others_are_answered_is_abandoned(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        (silent,) = get_dispatches(scheduler.submit(make_shard_request("a"), now))
        abandoned = []
        for number in range(30):
            actions = scheduler.submit(make_shard_request(f"q{number}"), now)
            now += 0.01
            (sibling,) = get_dispatches(actions)
            actions = scheduler.finish_call(sibling.call, make_backend_answer(), now)
            abandoned.extend(a for a in actions if isinstance(a, Abandon))
        self.assertIn(Abandon(silent.call), abandoned)
        scheduler.finish_call(silent.call, CallFailed(True, True, silent=True), now)
        self.assertEqual(
            scheduler.limit.value,
            2.0,
            "a silent connection is not a fault of the server",
        )

    def test_call_to_a_slow_server_is_not_abandoned(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        scheduler.submit(make_shard_request("a"), now)
        (second,) = get_dispatches(scheduler.submit(make_shard_request("b"), now))
        actions = scheduler.finish_call(second.call, make_backend_answer(), now + 1)
        self.assertEqual(actions, [])

    def test_non_idempotent_call_is_never_abandoned(self) -> None:
        scheduler = make_scheduler()
        now = warm_up(scheduler)
        scheduler.submit(make_shard_request("a", idempotent=False), now)
        (second,) = get_dispatches(scheduler.submit(make_shard_request("b"), now + 0.2))
        actions = scheduler.finish_call(second.call, make_backend_answer(), now + 0.3)
        self.assertEqual(actions, [])

    def test_non_idempotent_call_is_never_aborted(self) -> None:
        scheduler = make_scheduler()
        scheduler.submit(make_shard_request("a", idempotent=False), 1.0)
        self.assertEqual(scheduler.cancel(Cancel("a", 1, "camphor-0-0"), 1.0), [])
