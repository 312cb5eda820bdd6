"""Run callers' requests: the decisions of `RunningCall` joined to connections."""

from collections.abc import Callable
from typing import Any

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.backend_wire import BackendWire
from currantwharf.gateway.call_actions import (
    CallAction,
    FinishCall,
    PrepareServer,
    SendAttempt,
    WithdrawUnsent,
)
from currantwharf.gateway.call_log import log_failed_attempt
from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.route import Route
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.server_pools import ServerPools
from currantwharf.http1 import ConnectionFailure, Exchange, HttpResponse
from currantwharf.runtime.clock import Clock

LEAVE_S = 0.3  # seconds in which work for a caller who left may still end by itself
OVERDUE_S = 0.3  # seconds past its deadline after which an attempt is given up


class Call:
    """Hold one running call and its attempts under way."""

    __slots__ = ("run", "head", "on_result", "timer", "exchanges")

    def __init__(
        self, run: RunningCall, head: bytes, on_result: Callable[[CallResult], None]
    ) -> None:
        self.run = run
        self.head = head
        self.on_result = on_result
        self.timer: Any = None
        self.exchanges: dict[int, tuple[ServerEntry, Exchange]] = {}


class CallRunner:
    """Own all running calls of this instance; `on_result` hears how each ended."""

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
        self._attempts = 0
        self._under_way: dict[int, Call] = {}

    def start(
        self,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        on_result: Callable[[CallResult], None],
    ) -> Call:
        """Begin a call; `on_result` hears its result once."""
        now = self._clock.now()
        first = self._attempts
        # Numbers are set aside for all sends that the call may make.
        self._attempts += RunningCall.most_attempts(len(services))
        run = RunningCall(request, route, services, self._chooser, first)
        call = Call(run, self._wire.encode_head(request), on_result)
        self.running.add(call)
        self._do(call, run.start(now), now)
        self._plan_wake(call, now)
        return call

    def abandon(self, call: Call) -> None:
        """Give a call up whose caller has left; its work is cancelled soon."""
        if call not in self.running:
            return
        self._end(call)
        call.run.abandon()
        if call.run.route.idempotent and call.exchanges:
            self._reactor.callLater(LEAVE_S, self._withdraw_all, call)

    def finish_all(self) -> None:
        """Answer all running calls with what is there."""
        now = self._clock.now()
        for call in list(self.running):
            self._do(call, call.run.give_up(), now)

    def sweep(self, now: float) -> None:
        """Give up attempts that are past their deadline."""
        for attempt, call in list(self._under_way.items()):
            if now > call.run.request.deadline + OVERDUE_S:
                entry, exchange = call.exchanges[attempt]
                self._pools.get(entry).cancel(exchange, ConnectionFailure.TIMED_OUT)

    def _do(self, call: Call, actions: list[CallAction], now: float) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(call, action)
            elif isinstance(action, PrepareServer):
                self._pools.get(action.entry).preconnect()
            elif isinstance(action, WithdrawUnsent):
                entry, exchange = call.exchanges[action.attempt]
                self._pools.get(entry).cancel_unsent(exchange)
        for action in actions:
            if isinstance(action, FinishCall) and call in self.running:
                self._end(call)
                self._withdraw_unsent(call)
                call.on_result(action.result)
                self._on_result(call.run, action.result, now)

    def _send(self, call: Call, action: SendAttempt) -> None:
        request, entry, attempt = call.run.request, action.entry, action.attempt
        exchange = Exchange(
            lambda now: self._wire.encode(call.head, request, entry, now),
            lambda answer: self._wire.belongs(answer, request),
            request.deadline,
            not call.run.route.idempotent,
            lambda result: self._take(call, attempt, result),
        )
        call.exchanges[attempt] = (entry, exchange)
        self._under_way[attempt] = call
        self._pools.get(entry).send(exchange)

    def _take(
        self, call: Call, attempt: int, result: HttpResponse | ConnectionFailure
    ) -> None:
        entry, _ = call.exchanges.pop(attempt)
        del self._under_way[attempt]
        now = self._clock.now()
        known: AttemptResult
        known = (
            self._wire.parse_response(result)
            if isinstance(result, HttpResponse)
            else result
        )
        self._watch_for_crash(call, entry, known, now)
        if not isinstance(known, BackendAnswer) or not known.is_success:
            log_failed_attempt(call.run, attempt, entry, known, now)
        if isinstance(known, BackendAnswer) and known.verdict is Verdict.MISDIRECTED:
            # What waits for a connection would reach the wrong server as well.
            self._pools.get(entry).cancel_all_unsent()
        actions = call.run.on_attempt_result(attempt, known, now)
        if actions:
            self._do(call, actions, now)
            self._plan_wake(call, now)
        elif isinstance(result, ConnectionFailure):
            self._plan_wake(call, now)

    def _watch_for_crash(
        self, call: Call, entry: ServerEntry, result: AttemptResult, now: float
    ) -> None:
        crash_watch, fingerprint = (
            self._chooser.crash_watch,
            call.run.request.fingerprint,
        )
        if result is ConnectionFailure.BROKEN:
            crash_watch.on_broken(fingerprint, entry.server, now)
            # A connection that is refused proves that the server is gone.
            self._pools.get(entry).preconnect()
        elif isinstance(result, BackendAnswer) and result.signature:
            crash_watch.on_answer(fingerprint, entry.server)

    def _wake(self, call: Call) -> None:
        call.timer = None
        now = self._clock.now()
        self._do(call, call.run.wake(now), now)
        self._plan_wake(call, now)

    def _plan_wake(self, call: Call, now: float) -> None:
        if call not in self.running:
            return
        delay_s = max(0.0, call.run.next_wake(now) - now)
        if call.timer is not None:
            call.timer.cancel()
        call.timer = self._reactor.callLater(delay_s, self._wake, call)

    def _end(self, call: Call) -> None:
        self.running.discard(call)
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def _withdraw_unsent(self, call: Call) -> None:
        for entry, exchange in list(call.exchanges.values()):
            self._pools.get(entry).cancel_unsent(exchange)

    def _withdraw_all(self, call: Call) -> None:
        for entry, exchange in list(call.exchanges.values()):
            self._pools.get(entry).cancel(exchange, ConnectionFailure.TIMED_OUT)
