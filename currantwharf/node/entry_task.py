"""The task that takes callers' requests and drives them to their results."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred, succeed

from currantwharf.config import VersionedConfig
from currantwharf.metrics import Recorder
from currantwharf.node.post import Post
from currantwharf.once import RunningOrder
from currantwharf.query import (
    CallerRequest,
    ClassController,
    Coverage,
    DeliveryFailed,
    Finish,
    QueryAction,
    QueryResult,
    Router,
    RunningQuery,
    SendToHolder,
    SendToOwner,
)
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.wire import ClaimReply, Outcome, Reason, ShardAnswer, ShardRequest

TIMER_SLACK_S = 0.0005  # seconds, so that a timer never fires just before its time
MOST_RUNNING = 2000  # requests under way in one instance

log = component_logger("entry")

Message = ShardAnswer | ClaimReply | DeliveryFailed


@dataclass(slots=True)
class Entry:
    """Hold a request under way, its timer and who waits for its result."""

    running: RunningQuery | RunningOrder
    done: "Deferred[QueryResult]"
    started_at: float
    timer: Any = None
    wake_at: float = 0.0


class EntryTask:
    """Own the requests under way in this instance."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        name: str,
        router: Router,
        post: Post,
        find_holders: Callable[[str], tuple[str, ...]],
        encode: Callable[[QueryResult], bytes],
        recorder: Recorder,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._router = router
        self._post = post
        self._holders_of = find_holders
        self._encode = encode
        self._recorder = recorder
        self._rng = rng
        self._entries: dict[str, Entry] = {}
        self._ids: dict[tuple[str, str], str] = {}
        self._controllers: dict[str, ClassController] = {}
        self._count = 0

    @property
    def running(self) -> int:
        """The number of requests under way."""
        return len(self._entries)

    def controllers(self) -> dict[str, ClassController]:
        """Return the controllers of the classes seen so far."""
        return self._controllers

    def run(self, request: CallerRequest) -> "Deferred[QueryResult]":
        """Start a request and give its result when it is there."""
        now = self._clock.now()
        versioned = self._router.current_config()
        assert versioned is not None
        refused = self._refusal(request)
        if refused is not None:
            return succeed(self._refuse(request, refused, versioned))
        self._count += 1
        query_id = f"{self._name}.{self._count}"
        self._ids[request.caller, request.request_id] = request.fingerprint
        running = self._make(query, request, versioned, now)
        entry = Entry(running, Deferred(), now)
        self._entries[query] = entry
        self._perform(entry, running.start(now))
        return entry.done

    def tell(self, message: Message) -> None:
        """Hand a message to the request that it is about."""
        entry = self._entries.get(_query_of(message))
        if entry is None:
            self._recorder.count("late_messages")
            return
        self._perform(entry, entry.running.receive(message, self._clock.now()))

    def wake_all(self) -> None:
        """Let every request look at the time, after a pause of this process."""
        for entry in list(self._entries.values()):
            self._wake(entry)

    def _refusal(self, request: CallerRequest) -> Reason | None:
        if len(self._entries) >= MOST_RUNNING:
            return Reason.OVERLOADED
        known = self._ids.get((request.caller, request.request_id))
        if known is not None and known != request.fingerprint:
            return Reason.ID_REUSED
        return None

    def _refuse(
        self, request: CallerRequest, reason: Reason, versioned: VersionedConfig
    ) -> QueryResult:
        result = QueryResult(
            request.request_id,
            request.class_name,
            request.caller,
            Outcome.UNKNOWN if request.resend else Outcome.NOT_RUN,
            reason,
            versioned.config.index_version,
            Coverage(0, 0),
        )
        self._recorder.record(result, 0.0)
        return result

    def _make(
        self,
        query_id: str,
        request: CallerRequest,
        versioned: VersionedConfig,
        now: float,
    ) -> RunningQuery | RunningOrder:
        if not versioned.config.classes[request.class_name].idempotent:
            holders = self._holders_of(request.request_id)
            return RunningOrder(
                query_id, request, holders, self._router, self._encode, now
            )
        controller = self._controller(request.class_name, versioned, now)
        return RunningQuery(query_id, request, self._router, controller, self._rng, now)

    def _controller(
        self, class_name: str, versioned: VersionedConfig, now: float
    ) -> ClassController:
        targets = versioned.config.classes[class_name].targets
        controller = self._controllers.get(class_name)
        if controller is None or controller.targets != targets:
            controller = ClassController(targets, now)
            self._controllers[class_name] = controller
        return controller

    def _perform(self, entry: Entry, actions: list[QueryAction]) -> None:
        for action in actions:
            self._do(action, entry)
        if not entry.running.is_finished:
            self._set_timer(entry)

    @singledispatchmethod
    def _do(self, action: QueryAction, entry: Entry) -> None:
        raise NotImplementedError(type(action))

    @_do.register
    def _(self, action: SendToOwner, entry: Entry) -> None:
        self._post.send(action.owner, action.message)

    @_do.register
    def _(self, action: SendToHolder, entry: Entry) -> None:
        self._post.send(action.holder, action.message)

    @_do.register
    def _(self, action: Finish, entry: Entry) -> None:
        running = entry.running
        del self._entries[running.query]
        self._ids.pop((running.request.caller, running.request.request_id), None)
        if entry.timer is not None and entry.timer.active():
            entry.timer.cancel()
        latency = self._clock.now() - entry.started_at
        self._recorder.record(action.result, latency)
        if running.dropped_answers:
            self._recorder.count("dropped_answers", running.dropped_answers)
        if action.result.outcome is not Outcome.ANSWERED:
            _log_result(action.result, latency)
        entry.done.callback(action.result)

    def _set_timer(self, entry: Entry) -> None:
        now = self._clock.now()
        wake_at = entry.running.next_wake(now)
        pending = entry.timer is not None and entry.timer.active()
        if pending and wake_at == entry.wake_at:
            return
        entry.wake_at = wake_at
        delay = wake_at - now + TIMER_SLACK_S
        if pending:
            entry.timer.reset(delay)
        else:
            entry.timer = self._reactor.callLater(delay, self._wake, entry)

    def _wake(self, entry: Entry) -> None:
        if not entry.running.is_finished:
            self._perform(entry, entry.running.wake(self._clock.now()))


def _query_of(message: Message) -> str:
    if isinstance(message, ShardAnswer):
        return message.query
    if isinstance(message, ClaimReply):
        return message.token
    failed = message.message
    if isinstance(failed, ShardRequest):
        return failed.query
    return getattr(failed, "token", "")


def _log_result(result: QueryResult, latency_s: float) -> None:
    log.info(
        "a request ended without a whole outcome",
        extra={
            "request_id": result.request_id,
            "class": result.class_name,
            "outcome": result.outcome,
            "reason": result.reason,
            "latency_ms": round(latency_s * 1000, 1),
        },
    )
