"""The gate in front of one backend server: its limit, its queue and its deadlines.

One instance, the owner, holds the gate, so that the limit is a limit over all
instances together. The gate does no I/O: it takes events with the present time and
returns actions for its task.
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
    ConditionRecord,
    ServerWatch,
    new_server_watch,
)
from currantwharf.owner.limit import ServerLimit
from currantwharf.wire import Cancel, Reason, ShardRequest

QUEUE_LIMIT = 512  # requests
FRESH_S = 0.25  # seconds; no server restarts in less without cutting a connection
FRESH_ANSWERS = 3.0  # times the usual service time
SILENT_S = 0.1  # seconds before a connection may count as silent
SILENT_ANSWERS = 8.0  # times the usual service time
TAKEOVER_WAIT_S = 0.3  # seconds a new owner waits for the former one to let go
SILENT_TAKEOVER_WAIT_S = 2.0  # seconds, where the former one may run unheard


@dataclass(order=True, slots=True)
class QueuedRequest:
    """Hold a waiting request, ordered by its deadline."""

    deadline: float
    arrival: int
    request: ShardRequest = field(compare=False)


@dataclass(slots=True)
class CallInFlight:
    """Hold the requests of one call and when it was sent."""

    requests: tuple[ShardRequest, ...]
    sent_at: float


class ServerScheduler:
    """Let through no more work than the server can bear, earliest deadline first.

    `batch` is the number of requests that one call may carry. Costs are logarithmic
    in the length of the queue for each event.
    """

    def __init__(
        self, server: str, slots: int, batch: int, now: float, wait_s: float
    ) -> None:
        self.server = server
        self.batch = batch
        self.limit = ServerLimit(slots)
        self.condition_record = ConditionRecord()
        self.in_flight: dict[int, CallInFlight] = {}
        self._watch: ServerWatch = new_server_watch(self.condition_record)
        self._queue: list[QueuedRequest] = []
        self._waiting: dict[tuple[str, int], QueuedRequest] = {}
        self._arrivals = 0
        self._calls = 0
        self._closed_until = now + wait_s
        self._next_start = now
        self._answered_at = float("-inf")
        self._doubt_cap: int | None = None
        self._doubt_boot = ""

    @property
    def queue_length(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    def submit(self, request: ShardRequest, now: float) -> list[SchedulerAction]:
        """Take a request in, or refuse it when it can't finish in time."""
        if self.condition_record.condition is Condition.LEAVING:
            return [Refuse(request, Reason.SERVER_LEAVING)]
        if self._is_lost(now):
            return [Refuse(request, Reason.SERVER_LOST)]
        if self._doubt_cap is not None and not self._cap_in_doubt():
            return [Refuse(request, Reason.NOT_OWNER)]
        if self.queue_length >= QUEUE_LIMIT or self._is_hopeless(request):
            return [Refuse(request, Reason.OVERLOADED)]
        self._arrivals += 1
        deadline = now + request.budget_ms / 1000
        queued = QueuedRequest(deadline, self._arrivals, request)
        heapq.heappush(self._queue, queued)
        self._waiting[request.query, request.attempt] = queued
        return self.dispatch_waiting(now)

    def cancel(self, cancel: Cancel, now: float) -> list[SchedulerAction]:
        """Withdraw a request that waits, or abort its call when it alone is in it."""
        key = (cancel.query, cancel.attempt)
        if self._waiting.pop(key, None) is not None:
            return []
        for call, flight in self.in_flight.items():
            keys = {(req.query, req.attempt) for req in flight.requests}
            if keys == {key} and flight.requests[0].idempotent:
                return [Abort(call, flight.requests)]
        return []

    def finish_call(
        self, call: int, result: CallResult, now: float
    ) -> list[SchedulerAction]:
        """Note what came of a call and let the next requests through."""
        flight = self.in_flight.pop(call, None)
        if flight is None:
            return []
        if isinstance(result, CallFailed):
            return self._on_failed(result, now)
        silent = self._find_silent(flight, now)
        return silent + self._on_answer(result, now)

    def _find_silent(self, answered: CallInFlight, now: float) -> list[SchedulerAction]:
        """Give up calls that stay silent while a later one has been answered.

        A call to a slow server is not given up, since its siblings are slow as well.
        """
        patience = max(SILENT_S, SILENT_ANSWERS * self.limit.usual_ms / 1000)
        return [
            Abandon(call)
            for call, flight in self.in_flight.items()
            if flight.sent_at < answered.sent_at
            and now - flight.sent_at > patience
            and flight.requests[0].idempotent
        ]

    def _on_answer(self, answer: BackendAnswer, now: float) -> list[SchedulerAction]:
        self._watch.answered()
        self._answered_at = now
        outcomes = {item.outcome for item in answer.items}
        if ItemOutcome.SHED in outcomes:
            self.limit.on_shed()
            self._next_start = now + max(self.limit.usual_ms, 1.0) / 1000
        elif ItemOutcome.CANCELLED not in outcomes:
            full = len(self.in_flight) + 1 >= int(self.limit.value)
            at_full_use = full and self._doubt_cap is None
            self.limit.on_good_answer(answer.service_ms, answer.boot_id, at_full_use)
        if answer.leaving:
            return self.set_leaving(True)
        return self.dispatch_waiting(now)

    def _on_failed(self, failed: CallFailed, now: float) -> list[SchedulerAction]:
        if failed.silent:
            return self.dispatch_waiting(now)
        if not failed.timed_out:
            self._watch.lost(now)
            self.limit.on_lost()
            return self._refuse_all(Reason.SERVER_LOST)
        self.limit.on_shed()
        return self.dispatch_waiting(now)

    def set_leaving(self, leaving: bool) -> list[SchedulerAction]:
        """Note a sign that the server leaves, or that it does not any more."""
        if not leaving:
            self._watch.returns()
            return []
        self._watch.leaves()
        return self._refuse_all(Reason.SERVER_LEAVING)

    def set_ownership_uncertain(self, doubtful: bool) -> list[SchedulerAction]:
        """Note whether others may have taken the server over from this process.

        A warm server is used at half its limit then, which leaves room for the new
        owner's first requests. A cold one bears no second owner, so it is left alone.
        """
        if not doubtful:
            self._doubt_cap = None
            return []
        if self._doubt_cap is None:
            self._doubt_cap = int(self.limit.value / 2)
            self._doubt_boot = self.limit.boot_id
        return [] if self._cap_in_doubt() else self._refuse_all(Reason.NOT_OWNER)

    def _cap_in_doubt(self) -> int:
        same_boot = self.limit.boot_id == self._doubt_boot
        return self._doubt_cap or 0 if same_boot else 0

    def release(self, reason: Reason) -> list[SchedulerAction]:
        """Give up the server to another owner: refuse all that waits."""
        return self._refuse_all(reason)

    def take_over(
        self, limit: float, boot_id: str, now: float
    ) -> list[SchedulerAction]:
        """Open at the limit that the former owner hands over."""
        if not self.limit.boot_id:
            self.limit.take_over(limit, boot_id)
        self._closed_until = now
        return self.dispatch_waiting(now)

    def dispatch_waiting(self, now: float) -> list[SchedulerAction]:
        """Let waiting requests through as far as the limit allows."""
        actions: list[SchedulerAction] = []
        while self._waiting and self._has_room(now):
            requests = self._take_batch(now, actions)
            if requests:
                self._calls += 1
                self.in_flight[self._calls] = CallInFlight(requests, now)
                self._pace(now)
                actions.append(Dispatch(self._calls, requests))
        wake = max(self._closed_until, self._next_start)
        if self._waiting and wake > now:
            actions.append(WakeAt(wake))
        return actions

    def _take_batch(
        self, now: float, actions: list[SchedulerAction]
    ) -> tuple[ShardRequest, ...]:
        """Pop the requests of one call; a non-idempotent request travels alone."""
        size = min(self.batch, max(1, self.queue_length // max(1, self._free(now))))
        taken: list[ShardRequest] = []
        while self._queue and len(taken) < size:
            queued = self._queue[0]
            request = queued.request
            if self._waiting.get((request.query, request.attempt)) is not queued:
                heapq.heappop(self._queue)
                continue
            if taken and not request.idempotent:
                break
            heapq.heappop(self._queue)
            del self._waiting[request.query, request.attempt]
            if queued.deadline <= now:
                actions.append(Refuse(request, Reason.DEADLINE))
                continue
            taken.append(request)
            if not request.idempotent:
                break
        return tuple(taken)

    def _has_room(self, now: float) -> bool:
        if now < self._closed_until or now < self._next_start:
            return False
        if self._is_lost(now):
            return False
        if self.condition_record.condition is Condition.LOST:
            return not self.in_flight and self._doubt_cap is None
        return self._free(now) > 0

    def _free(self, now: float) -> int:
        return self._max_in_flight(now) - len(self.in_flight)

    def _max_in_flight(self, now: float) -> int:
        """Return how many calls may be in flight.

        A server that has not answered of late may have restarted unseen, so it gets
        one request until it has answered under the same boot id.
        """
        fresh_s = max(FRESH_S, FRESH_ANSWERS * self.limit.usual_ms / 1000)
        allowed = max(1, int(self.limit.value))
        if now - self._answered_at > fresh_s:
            allowed = 1
        if self._doubt_cap is not None:
            allowed = min(allowed, self._cap_in_doubt())
        return allowed

    def _pace(self, now: float) -> None:
        """Below a limit of 1, leave the server idle between two requests."""
        if self.limit.value < 1:
            gap_ms = max(self.limit.usual_ms, 1.0) / self.limit.value
            self._next_start = now + gap_ms / 1000

    def _is_lost(self, now: float) -> bool:
        lost = self.condition_record.condition is Condition.LOST
        return lost and now < self.condition_record.retry_at

    def _is_hopeless(self, request: ShardRequest) -> bool:
        """Return whether the request would expire in the queue or in the server."""
        usual = self.limit.usual_ms
        ahead = self.queue_length / self.batch + len(self.in_flight)
        rounds = ahead / max(self.limit.value, 1)
        return usual > 0 and request.budget_ms < usual * (rounds + 0.5)

    def _refuse_all(self, reason: Reason) -> list[SchedulerAction]:
        waiting = list(self._waiting.values())
        self._waiting.clear()
        self._queue.clear()
        return [Refuse(queued.request, reason) for queued in waiting]
