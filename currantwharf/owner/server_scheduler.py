"""Scheduler for the requests to one backend server: limit, queue and deadlines.

Only the owner of a server runs its scheduler, so the limit applies to all instances
together. The scheduler does no I/O. Its methods take events and the current time and
return actions for the task that drives it.
"""

import heapq
from dataclasses import dataclass, field

from currantwharf.owner.actions import (
    Abandon,
    Abort,
    Dispatch,
    Refuse,
    SchedulerAction,
    WakeAt,
)
from currantwharf.owner.call_result import (
    BackendAnswer,
    CallFailed,
    CallResult,
    ItemOutcome,
)
from currantwharf.owner.condition import (
    Condition,
    ConditionMachine,
    ConditionRecord,
    build_condition_machine,
)
from currantwharf.owner.limit import ServerLimit
from currantwharf.wire import Cancel, Reason, ShardRequest

MAX_QUEUED_REQUESTS = 512
# The last answer of a server is recent for the longer of these two times. A server
# can't restart within 0.25 s without breaking a connection.
FRESH_ANSWER_S = 0.25
FRESH_ANSWER_FACTOR = 3.0  # times the usual service time
# A connection can count as silent after the longer of these two times.
MIN_SILENCE_S = 0.1
SILENCE_FACTOR = 8.0  # times the usual service time
# How long a new owner waits for the previous owner to release the server. The longer
# wait applies if the previous owner may be running but unreachable.
TAKEOVER_WAIT_S = 0.3
SILENT_TAKEOVER_WAIT_S = 2.0


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A waiting request, ordered by its deadline and then by arrival."""

    deadline: float
    arrival: int
    request: ShardRequest = field(compare=False)


@dataclass(slots=True)
class CallInFlight:
    """The requests of one call and the time at which it was sent."""

    requests: tuple[ShardRequest, ...]
    sent_at: float


class ServerScheduler:
    """Dispatch requests within the concurrency limit, earliest deadline first.

    `batch` is the maximum number of requests in one call. `wait_s` is the time that a
    new owner waits before the first call. Each event takes logarithmic time in the
    length of the queue.
    """

    def __init__(
        self, server: str, slots: int, batch: int, now: float, wait_s: float
    ) -> None:
        self.server = server
        self.batch = batch
        self.limit = ServerLimit(slots)
        self.condition_record = ConditionRecord()
        self.in_flight: dict[int, CallInFlight] = {}
        self._condition_machine: ConditionMachine = build_condition_machine(
            self.condition_record
        )
        self._queue: list[QueuedRequest] = []
        self._waiting: dict[tuple[str, int], QueuedRequest] = {}
        self._arrival_count = 0
        self._call_count = 0
        self._closed_until = now + wait_s
        self._next_dispatch_at = now
        self._answered_at = float("-inf")
        self._uncertain_cap: int | None = None
        self._uncertain_boot_id = ""

    @property
    def queue_length(self) -> int:
        """The number of waiting requests."""
        return len(self._waiting)

    def submit(self, request: ShardRequest, now: float) -> list[SchedulerAction]:
        """Queue a request, or refuse it if it can't be answered in time."""
        if self.condition_record.condition is Condition.LEAVING:
            return [Refuse(request, Reason.SERVER_LEAVING)]
        if self._is_lost(now):
            return [Refuse(request, Reason.SERVER_LOST)]
        if self._uncertain_cap is not None and not self._effective_uncertain_cap():
            return [Refuse(request, Reason.NOT_OWNER)]
        if self.queue_length >= MAX_QUEUED_REQUESTS or self._would_expire(request):
            return [Refuse(request, Reason.OVERLOADED)]
        self._arrival_count += 1
        deadline = now + request.budget_ms / 1000
        queued = QueuedRequest(deadline, self._arrival_count, request)
        heapq.heappush(self._queue, queued)
        self._waiting[request.query, request.attempt] = queued
        return self.dispatch_waiting(now)

    def cancel(self, cancel: Cancel, now: float) -> list[SchedulerAction]:
        """Remove a waiting request, or abort its call if that carries no other request.

        A call with a non-idempotent request is never aborted.
        """
        key = (cancel.query, cancel.attempt)
        if self._waiting.pop(key, None) is not None:
            return []
        for call, call_in_flight in self.in_flight.items():
            keys = {(req.query, req.attempt) for req in call_in_flight.requests}
            if keys == {key} and call_in_flight.requests[0].idempotent:
                return [Abort(call, call_in_flight.requests)]
        return []

    def finish_call(
        self, call: int, result: CallResult, now: float
    ) -> list[SchedulerAction]:
        """Process the result of a call and dispatch the next requests."""
        call_in_flight = self.in_flight.pop(call, None)
        if call_in_flight is None:
            return []
        if isinstance(result, CallFailed):
            return self._on_failed(result, now)
        silent = self._abandon_silent_calls(call_in_flight, now)
        return silent + self._on_answer(result, now)

    def _abandon_silent_calls(
        self, answered: CallInFlight, now: float
    ) -> list[SchedulerAction]:
        """Return actions that abandon silent calls after a later call was answered.

        Calls to a server that is slow as a whole are not abandoned, because the other
        calls to it are slow as well. Non-idempotent requests are never abandoned.
        """
        silence_s = max(MIN_SILENCE_S, SILENCE_FACTOR * self.limit.usual_ms / 1000)
        return [
            Abandon(call)
            for call, call_in_flight in self.in_flight.items()
            if call_in_flight.sent_at < answered.sent_at
            and now - call_in_flight.sent_at > silence_s
            and call_in_flight.requests[0].idempotent
        ]

    def _on_answer(self, answer: BackendAnswer, now: float) -> list[SchedulerAction]:
        self._condition_machine.on_answer()
        self._answered_at = now
        outcomes = {item.outcome for item in answer.items}
        if ItemOutcome.SHED in outcomes:
            self.limit.on_shed()
            self._next_dispatch_at = now + max(self.limit.usual_ms, 1.0) / 1000
        elif ItemOutcome.CANCELLED not in outcomes:
            is_full = len(self.in_flight) + 1 >= int(self.limit.value)
            at_full_use = is_full and self._uncertain_cap is None
            self.limit.on_good_answer(answer.service_ms, answer.boot_id, at_full_use)
        if answer.leaving:
            return self.set_leaving(True)
        return self.dispatch_waiting(now)

    def _on_failed(self, failed: CallFailed, now: float) -> list[SchedulerAction]:
        if failed.silent:
            return self.dispatch_waiting(now)
        if not failed.timed_out:
            self._condition_machine.on_loss(now)
            self.limit.on_lost()
            return self._refuse_all(Reason.SERVER_LOST)
        self.limit.on_shed()
        return self.dispatch_waiting(now)

    def set_leaving(self, leaving: bool) -> list[SchedulerAction]:
        """Record whether the server is leaving."""
        if not leaving:
            self._condition_machine.on_return()
            return []
        self._condition_machine.on_leaving()
        return self._refuse_all(Reason.SERVER_LEAVING)

    def set_ownership_uncertain(self, uncertain: bool) -> list[SchedulerAction]:
        """Record whether another instance may have taken over the server.

        While ownership is uncertain, a warm server is used at half its limit, which
        leaves room for the first requests of the new owner. A cold server can't serve
        two owners, so all requests to it are refused.
        """
        if not uncertain:
            self._uncertain_cap = None
            return []
        if self._uncertain_cap is None:
            self._uncertain_cap = int(self.limit.value / 2)
            self._uncertain_boot_id = self.limit.boot_id
        return (
            []
            if self._effective_uncertain_cap()
            else self._refuse_all(Reason.NOT_OWNER)
        )

    def _effective_uncertain_cap(self) -> int:
        same_boot = self.limit.boot_id == self._uncertain_boot_id
        return self._uncertain_cap or 0 if same_boot else 0

    def release(self, reason: Reason) -> list[SchedulerAction]:
        """Refuse all waiting requests before another owner takes over the server."""
        return self._refuse_all(reason)

    def take_over(
        self, limit: float, boot_id: str, now: float
    ) -> list[SchedulerAction]:
        """Start dispatching with the limit that the previous owner has handed over."""
        if not self.limit.boot_id:
            self.limit.take_over(limit, boot_id)
        self._closed_until = now
        return self.dispatch_waiting(now)

    def dispatch_waiting(self, now: float) -> list[SchedulerAction]:
        """Dispatch waiting requests as far as the limit allows."""
        actions: list[SchedulerAction] = []
        while self._waiting and self._can_dispatch(now):
            requests = self._pop_batch(now, actions)
            if requests:
                self._call_count += 1
                self.in_flight[self._call_count] = CallInFlight(requests, now)
                self._delay_next_dispatch(now)
                actions.append(Dispatch(self._call_count, requests))
        wake_at = max(self._closed_until, self._next_dispatch_at)
        if self._waiting and wake_at > now:
            actions.append(WakeAt(wake_at))
        return actions

    def _pop_batch(
        self, now: float, actions: list[SchedulerAction]
    ) -> tuple[ShardRequest, ...]:
        """Remove the requests of one call from the queue.

        A non-idempotent request is sent in a call of its own.
        """
        size = min(
            self.batch, max(1, self.queue_length // max(1, self._free_calls(now)))
        )
        batch: list[ShardRequest] = []
        while self._queue and len(batch) < size:
            queued = self._queue[0]
            request = queued.request
            if self._waiting.get((request.query, request.attempt)) is not queued:
                heapq.heappop(self._queue)
                continue
            if batch and not request.idempotent:
                break
            heapq.heappop(self._queue)
            del self._waiting[request.query, request.attempt]
            if queued.deadline <= now:
                actions.append(Refuse(request, Reason.DEADLINE))
                continue
            batch.append(request)
            if not request.idempotent:
                break
        return tuple(batch)

    def _can_dispatch(self, now: float) -> bool:
        if now < self._closed_until or now < self._next_dispatch_at:
            return False
        if self._is_lost(now):
            return False
        if self.condition_record.condition is Condition.LOST:
            return not self.in_flight and self._uncertain_cap is None
        return self._free_calls(now) > 0

    def _free_calls(self, now: float) -> int:
        return self._max_in_flight(now) - len(self.in_flight)

    def _max_in_flight(self, now: float) -> int:
        """Return the maximum number of calls in flight.

        A server without a recent answer may have restarted unnoticed, so it gets one
        call until it has answered with the same boot id.
        """
        max_age_s = max(
            FRESH_ANSWER_S, FRESH_ANSWER_FACTOR * self.limit.usual_ms / 1000
        )
        allowed = max(1, int(self.limit.value))
        if now - self._answered_at > max_age_s:
            allowed = 1
        if self._uncertain_cap is not None:
            allowed = min(allowed, self._effective_uncertain_cap())
        return allowed

    def _delay_next_dispatch(self, now: float) -> None:
        """Leave the server idle between two calls if its limit is below 1."""
        if self.limit.value < 1:
            gap_ms = max(self.limit.usual_ms, 1.0) / self.limit.value
            self._next_dispatch_at = now + gap_ms / 1000

    def _is_lost(self, now: float) -> bool:
        is_lost = self.condition_record.condition is Condition.LOST
        return is_lost and now < self.condition_record.retry_at

    def _would_expire(self, request: ShardRequest) -> bool:
        """Return whether the request would expire in the queue or at the server."""
        usual_ms = self.limit.usual_ms
        calls_ahead = self.queue_length / self.batch + len(self.in_flight)
        rounds = calls_ahead / max(self.limit.value, 1)
        return usual_ms > 0 and request.budget_ms < usual_ms * (rounds + 0.5)

    def _refuse_all(self, reason: Reason) -> list[SchedulerAction]:
        waiting = list(self._waiting.values())
        self._waiting.clear()
        self._queue.clear()
        return [Refuse(queued.request, reason) for queued in waiting]
