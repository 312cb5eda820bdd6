"""Runs the requests that callers send to this instance, up to their results."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred, succeed

from currantwharf.config import VersionedConfig
from currantwharf.metrics import Recorder
from currantwharf.node.peer_messenger import PeerMessenger
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

TIMER_SLACK_S = 0.0005  # keeps a timer from firing just before its time
MAX_RUNNING_REQUESTS = 2000  # per instance; further requests are refused

log = component_logger("entry")

Message = ShardAnswer | ClaimReply | DeliveryFailed


@dataclass(slots=True)
class PendingRequest:
    """A running request, its timer and the deferred result for its caller.

    `started_at` and `wake_at` are seconds on the monotonic clock.
    """

    execution: RunningQuery | RunningOrder
    result: "Deferred[QueryResult]"
    started_at: float
    timer: Any = None
    wake_at: float = 0.0


class EntryTask:
    """Holds the running requests of callers and exchanges messages for them.

    The instance that a caller's request enters sends its parts to the owners of the
    backend servers, or its claims to the holders of the request id. Query ids start
    with `query_id_prefix`, which differs between all processes.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        query_id_prefix: str,
        router: Router,
        messenger: PeerMessenger,
        find_holders: Callable[[str], tuple[str, ...]],
        encode: Callable[[QueryResult], bytes],
        recorder: Recorder,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._query_id_prefix = query_id_prefix
        self._router = router
        self._messenger = messenger
        self._find_holders = find_holders
        self._encode = encode
        self._recorder = recorder
        self._rng = rng
        self._pending: dict[str, PendingRequest] = {}
        self._fingerprints_by_id: dict[tuple[str, str], str] = {}
        self._controllers: dict[str, ClassController] = {}
        self._query_count = 0

    @property
    def running_count(self) -> int:
        """The number of running requests."""
        return len(self._pending)

    def get_controllers(self) -> dict[str, ClassController]:
        """Return the controllers of the request classes seen so far, by class name."""
        return self._controllers

    def run(self, request: CallerRequest) -> "Deferred[QueryResult]":
        """Start a request; the deferred fires with its result."""
        now = self._clock.now()
        versioned = self._router.current_config()
        assert versioned is not None
        refused = self._find_refusal_reason(request)
        if refused is not None:
            return succeed(self._build_refused_result(request, refused, versioned))
        self._query_count += 1
        query_id = f"{self._query_id_prefix}.{self._query_count}"
        self._fingerprints_by_id[request.caller, request.request_id] = (
            request.fingerprint
        )
        execution = self._make_execution(query_id, request, versioned, now)
        pending = PendingRequest(execution, Deferred(), now)
        self._pending[query_id] = pending
        self._perform_actions(pending, execution.start(now))
        return pending.result

    def receive(self, message: Message) -> None:
        """Pass a message to the request that it belongs to.

        A message for a request that has ended is dropped and counted.
        """
        pending = self._pending.get(_get_query_id(message))
        if pending is None:
            self._recorder.count("late_messages")
            return
        self._perform_actions(
            pending, pending.execution.receive(message, self._clock.now())
        )

    def wake_all(self) -> None:
        """Make every request check its deadlines, after a pause of this process."""
        for pending in list(self._pending.values()):
            self._wake(pending)

    def _find_refusal_reason(self, request: CallerRequest) -> Reason | None:
        if len(self._pending) >= MAX_RUNNING_REQUESTS:
            return Reason.OVERLOADED
        fingerprint = self._fingerprints_by_id.get((request.caller, request.request_id))
        if fingerprint is not None and fingerprint != request.fingerprint:
            return Reason.ID_REUSED
        return None

    def _build_refused_result(
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

    def _make_execution(
        self,
        query_id: str,
        request: CallerRequest,
        versioned: VersionedConfig,
        now: float,
    ) -> RunningQuery | RunningOrder:
        if not versioned.config.classes[request.class_name].idempotent:
            holders = self._find_holders(request.request_id)
            return RunningOrder(
                query_id, request, holders, self._router, self._encode, now
            )
        controller = self._get_controller(request.class_name, versioned, now)
        return RunningQuery(query_id, request, self._router, controller, self._rng, now)

    def _get_controller(
        self, class_name: str, versioned: VersionedConfig, now: float
    ) -> ClassController:
        targets = versioned.config.classes[class_name].targets
        controller = self._controllers.get(class_name)
        if controller is None or controller.targets != targets:
            controller = ClassController(targets, now)
            self._controllers[class_name] = controller
        return controller

    def _perform_actions(
        self, pending: PendingRequest, actions: list[QueryAction]
    ) -> None:
        for action in actions:
            self._perform_action(action, pending)
        if not pending.execution.is_finished:
            self._set_timer(pending)

    @singledispatchmethod
    def _perform_action(self, action: QueryAction, pending: PendingRequest) -> None:
        raise NotImplementedError(type(action))

    @_perform_action.register
    def _(self, action: SendToOwner, pending: PendingRequest) -> None:
        self._messenger.send(action.owner, action.message)

    @_perform_action.register
    def _(self, action: SendToHolder, pending: PendingRequest) -> None:
        self._messenger.send(action.holder, action.message)

    @_perform_action.register
    def _(self, action: Finish, pending: PendingRequest) -> None:
        execution = pending.execution
        del self._pending[execution.query_id]
        self._fingerprints_by_id.pop(
            (execution.request.caller, execution.request.request_id), None
        )
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        latency_s = self._clock.now() - pending.started_at
        self._recorder.record(action.result, latency_s)
        if execution.dropped_answers:
            self._recorder.count("dropped_answers", execution.dropped_answers)
        if action.result.outcome is not Outcome.ANSWERED:
            _log_result(action.result, latency_s)
        pending.result.callback(action.result)

    def _set_timer(self, pending: PendingRequest) -> None:
        now = self._clock.now()
        wake_at = pending.execution.next_wake_at(now)
        is_timer_active = pending.timer is not None and pending.timer.active()
        if is_timer_active and wake_at == pending.wake_at:
            return
        pending.wake_at = wake_at
        delay = wake_at - now + TIMER_SLACK_S
        if is_timer_active:
            pending.timer.reset(delay)
        else:
            pending.timer = self._reactor.callLater(delay, self._wake, pending)

    def _wake(self, pending: PendingRequest) -> None:
        if not pending.execution.is_finished:
            self._perform_actions(pending, pending.execution.wake(self._clock.now()))


def _get_query_id(message: Message) -> str:
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
        "request ended unanswered",
        extra={
            "request_id": result.request_id,
            "class": result.class_name,
            "outcome": result.outcome,
            "reason": result.reason,
            "latency_ms": round(latency_s * 1000, 1),
        },
    )
