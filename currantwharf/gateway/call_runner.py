"""Runs callers' requests: performs the actions of `RunningCall` on connections."""

from collections.abc import Callable, Collection
from functools import partial
from typing import Any

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.backend_wire import BackendWire
from currantwharf.gateway.call_actions import (
    CallAction,
    CancelUnsent,
    FinishCall,
    PreconnectServer,
    SendAttempt,
)
from currantwharf.gateway.call_log import log_failed_attempt, log_obstacle
from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.route import Route
from currantwharf.gateway.running_attempt import RunningAttempt
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.server_pools import ServerPools
from currantwharf.http1 import ConnectionFailure, Exchange, HttpResponse
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.read_first import call_after_reading, is_held_up
from currantwharf.runtime.unexpected_errors import PROCESS_ERRORS

ABANDON_DELAY_S = 0.3  # lets the work for a disconnected caller end by itself
EXPIRY_DELAY_S = 0.3  # after an attempt's deadline, until it is cancelled
# From a broken connection to the check whether its server still accepts one. By then
# the other connections of a server that crashed are known to be broken, too.
CRASH_CHECK_DELAY_S = 0.02

log = component_logger("call")


class Call:
    """One running call with its timer and its attempts at backend servers."""

    __slots__ = (
        "state",
        "head",
        "on_result",
        "is_reported",
        "timer",
        "wake_at",
        "attempts",
    )

    def __init__(
        self, state: RunningCall, head: bytes, on_result: Callable[[CallResult], None]
    ) -> None:
        self.state = state
        self.head = head
        self.on_result = on_result
        self.is_reported = False
        self.timer: Any = None
        self.wake_at = 0.0
        self.attempts: dict[int, RunningAttempt] = {}


class CallRunner:
    """Owns all running calls of this instance and reports their results.

    An unexpected error ends the call in which it is raised, with a result that is true,
    and no other call.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        chooser: ServerChooser,
        pools: ServerPools,
        wire: BackendWire,
        on_result: Callable[[RunningCall, CallResult, float], None],
    ) -> None:
        self.running: set[Call] = set()
        self._on_result = on_result
        self._reactor = reactor
        self._clock = clock
        self._chooser = chooser
        self._pools = pools
        self._wire = wire
        self._next_attempt = 0
        self._calls_by_attempt: dict[int, Call] = {}

    def start(
        self,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        on_result: Callable[[CallResult], None],
    ) -> Call:
        """Start a call; `on_result` is called once, with its result."""
        now = self._clock.now()
        first_attempt = self._next_attempt
        # Reserve attempt numbers for the maximum number of sends of the call.
        self._next_attempt += RunningCall.max_attempts(len(services))
        state = RunningCall(request, route, services, self._chooser, first_attempt)
        call = Call(state, self._wire.encode_head(request), on_result)
        self.running.add(call)
        self._advance(call, partial(state.start, now), now)
        return call

    def abandon(self, call: Call) -> None:
        """End the call of a disconnected caller.

        What waits for a connection is not sent any more, whatever its route. Idempotent
        work is cancelled soon; other work goes on, since it may have run.
        """
        if call not in self.running:
            return
        self._remove(call)
        call.state.abandon()
        self._cancel_unsent(call)
        if call.state.route.idempotent and call.attempts:
            self._reactor.callLater(ABANDON_DELAY_S, self._cancel_all, call)

    def finish_all(self) -> None:
        """Answer all running calls with the answers received so far."""
        now = self._clock.now()
        for call in list(self.running):
            self._advance(call, call.state.finish_now, now)

    def sweep(self, now: float) -> None:
        """Cancel attempts that are past their deadline."""
        for attempt, call in list(self._calls_by_attempt.items()):
            if now > call.state.request.deadline + EXPIRY_DELAY_S:
                running = call.attempts[attempt]
                running.pool.cancel(running.exchange, ConnectionFailure.TIMED_OUT)

    def _advance(
        self, call: Call, decide: Callable[[], list[CallAction]], now: float
    ) -> None:
        """Perform what a call decides on an event, and schedule when to wake it."""
        try:
            self._perform(call, decide(), now)
            self._schedule_wake(call, now)
        except Exception as exc:
            self._fail(call, exc, (), now)

    def _fail(
        self, call: Call, exc: Exception, ended: Collection[int], now: float
    ) -> None:
        """End a call in which an unexpected error was raised, and answer its caller.

        `ended` are attempts whose result has come and was not taken into account.
        """
        PROCESS_ERRORS.record(log, "unexpected error", exc, now)
        written = (a for a, r in call.attempts.items() if r.exchange.is_written)
        result = call.state.fail({*written, *ended})
        self._remove(call)
        self._cancel_unsent(call)
        if call.state.route.idempotent:
            self._cancel_all(call)
        if call.is_reported:
            return
        try:
            self._report(call, result, now)
        except Exception as second:
            PROCESS_ERRORS.record(log, "unexpected error in a result", second, now)

    def _report(self, call: Call, result: CallResult, now: float) -> None:
        call.on_result(result)
        call.is_reported = True
        self._on_result(call.state, result, now)

    def _perform(self, call: Call, actions: list[CallAction], now: float) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send_attempt(call, action)
            elif isinstance(action, PreconnectServer):
                self._pools.get(action.entry).preconnect()
            elif isinstance(action, CancelUnsent):
                running = call.attempts.get(action.attempt)
                if running is not None:
                    running.pool.cancel_unsent(running.exchange, action.failure)
        for action in actions:
            if isinstance(action, FinishCall) and call in self.running:
                self._remove(call)
                self._cancel_unsent(call)
                self._report(call, action.result, now)

    def _send_attempt(self, call: Call, action: SendAttempt) -> None:
        request, entry, attempt = call.state.request, action.entry, action.attempt

        def encode(now: float) -> bytes:
            call.state.on_attempt_written(attempt, now)
            return self._wire.encode(call.head, request, entry, now)

        def may_be_sent(now: float) -> bool:
            obstacle = call.state.find_obstacle(attempt, now)
            if obstacle is not None:
                log_obstacle(call.state, attempt, entry, obstacle, now)
            return obstacle is None

        exchange = Exchange(
            encode,
            lambda response: self._wire.matches(response, request),
            request.deadline,
            not call.state.route.idempotent,
            lambda result: self._on_exchange_result(call, attempt, result),
            request.request_id,
            may_be_sent,
            request.method == b"HEAD",
        )
        pool = self._pools.get(entry)
        call.attempts[attempt] = RunningAttempt(entry, exchange, pool)
        self._calls_by_attempt[attempt] = call
        pool.send(exchange)

    def _on_exchange_result(
        self,
        call: Call,
        attempt: int,
        exchange_result: HttpResponse | ConnectionFailure,
    ) -> None:
        entry = call.attempts.pop(attempt).entry
        del self._calls_by_attempt[attempt]
        now = self._clock.now()
        try:
            self._process_result(call, attempt, entry, exchange_result, now)
        except Exception as exc:
            self._chooser.on_cancelled(entry, attempt)
            self._fail(call, exc, (attempt,), now)

    def _process_result(
        self,
        call: Call,
        attempt: int,
        entry: ServerEntry,
        exchange_result: HttpResponse | ConnectionFailure,
        now: float,
    ) -> None:
        result: AttemptResult
        result = (
            self._wire.parse_response(exchange_result)
            if isinstance(exchange_result, HttpResponse)
            else exchange_result
        )
        self._update_crash_watch(call, attempt, entry, result, now)
        if not isinstance(result, BackendAnswer) or not result.is_success:
            log_failed_attempt(call.state, attempt, entry, result, now)
        if isinstance(result, BackendAnswer) and result.verdict is Verdict.MISDIRECTED:
            # Requests still waiting for a connection would reach the wrong server too.
            self._pools.get(entry).cancel_all_unsent()
            self._chooser.crash_watch.on_ended(entry.server, now)
        actions = call.state.on_attempt_result(attempt, result, now)
        if actions:
            self._perform(call, actions, now)
            self._schedule_wake(call, now)
        elif isinstance(exchange_result, ConnectionFailure):
            self._schedule_wake(call, now)

    def _update_crash_watch(
        self,
        call: Call,
        attempt: int,
        entry: ServerEntry,
        result: AttemptResult,
        now: float,
    ) -> None:
        watch, fingerprint = self._chooser.crash_watch, call.state.request.fingerprint
        if result is ConnectionFailure.BROKEN:
            watch.on_connection_broken(fingerprint, entry, now)
            # A refused connection proves that the server is gone.
            pool = self._pools.get(entry)
            self._reactor.callLater(CRASH_CHECK_DELAY_S, pool.preconnect)
        elif isinstance(result, BackendAnswer) and result.signature:
            sent_at = self._chooser.get_evidence(entry).in_flight.get(attempt, now)
            watch.on_server_answer(entry.server, sent_at)
            if result.verdict is Verdict.ANSWERED:
                watch.on_request_answered(fingerprint, now)

    def _on_timer(self, call: Call) -> None:
        """Wake a call, after reading if this instance was busy when it was due."""
        if is_held_up(call.wake_at, self._clock.now()):
            call.timer = call_after_reading(self._reactor, self._wake, call)
        else:
            self._wake(call)

    def _wake(self, call: Call) -> None:
        call.timer = None
        now = self._clock.now()
        self._advance(call, partial(call.state.wake, now), now)

    def _schedule_wake(self, call: Call, now: float) -> None:
        if call not in self.running:
            return
        call.wake_at = max(now, call.state.next_wake_at(now))
        if call.timer is not None:
            call.timer.cancel()
        call.timer = self._reactor.callLater(call.wake_at - now, self._on_timer, call)

    def _remove(self, call: Call) -> None:
        self.running.discard(call)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def _cancel_unsent(self, call: Call) -> None:
        for running in list(call.attempts.values()):
            running.pool.cancel_unsent(running.exchange)

    def _cancel_all(self, call: Call) -> None:
        for running in list(call.attempts.values()):
            running.pool.cancel(running.exchange, ConnectionFailure.TIMED_OUT)
