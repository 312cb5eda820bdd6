"""State machine of one request: sends, hedges, retries and the final answer.

It does no I/O: its methods take an event and the current time and return the actions
to perform. A call has one part for each shard of its route, or a single part if the
route leads to one service. All parts come from the configuration that was in force
when the call started.
"""

from collections.abc import Collection

from currantwharf.gateway.answer_rule import AnswerRule
from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.call_actions import (
    CallAction,
    CancelUnsent,
    FinishCall,
    PreconnectServer,
    SendAttempt,
)
from currantwharf.gateway.call_outcome import (
    did_not_run,
    get_failure_reason,
    resolve_query,
    resolve_service_call,
)
from currantwharf.gateway.call_result import CallOutcome, CallReason, CallResult
from currantwharf.gateway.connect_patience import connect_check_time, is_server_late
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.hedge_rule import is_hedge_sooner
from currantwharf.gateway.ineligibility import Ineligibility
from currantwharf.gateway.part_call import PartAttempt, PartCall
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.gateway.route import Route
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import ConnectionFailure
from currantwharf.policy.coverage import Coverage

RETRY_DELAY_S = 0.04  # until a part looks for an eligible server again
MAX_SENDS_PER_PART = 6  # repeats after a rejection spend the repeat budget too
MIN_HEDGE_MARGIN_S = 0.002  # by which a hedge is expected to beat the target
# Retry delay for callers whose request has crashed servers; long, to keep such a
# request from coming back.
HELD_RETRY_AFTER_S = 60.0
RETRY_AFTER_S = 0.25  # after which a refused caller may find an eligible server


class RunningCall:
    """The state of one request, from its first send to its result.

    Attempts are numbered from `first_attempt`; the caller of the constructor keeps the
    numbers unique among all calls of the instance.
    """

    def __init__(
        self,
        request: GatewayRequest,
        route: Route,
        services: tuple[str, ...],
        chooser: ServerChooser,
        first_attempt: int,
    ) -> None:
        self.request = request
        self.route = route
        self.is_finished = False
        self.sends = 0
        self.extras = 0
        prior_sends = request.prior_sends
        self.parts = [
            PartCall(service, possible_runs=prior_sends, is_repeat=prior_sends > 0)
            for service in services
        ]
        self._chooser = chooser
        self._next_attempt = first_attempt
        self._parts_by_attempt: dict[int, PartCall] = {}
        self._answered_parts = 0
        self._is_query = bool(route.shards)
        self._last_failure_reason = CallReason.NO_SERVER
        self._retry_after_s: float | None = None
        self._answer_rule = AnswerRule(route, request.target_at, len(services))

    @staticmethod
    def max_attempts(part_count: int) -> int:
        """Return the maximum number of attempts of a call with `part_count` parts."""
        return part_count * MAX_SENDS_PER_PART

    def start(self, now: float) -> list[CallAction]:
        """Send every part to its best server, unless limits leave too few parts."""
        for part in self.parts:
            self._chooser.on_request(part.service, now)
        actions: list[CallAction] = []
        if self._is_stopped_by_limits(now) or self._is_turned_away(now):
            return self._finish(actions)
        for part in self.parts:
            self._send_part(part, now, actions)
        return self._finish_if_done(actions, now)

    def next_wake_at(self, now: float) -> float:
        """Return when to call `wake` next, in seconds of the monotonic clock."""
        wake_at = self.request.deadline
        if self._is_query:
            for at in (self.request.target_at, self._answer_rule.late_at):
                if now < at < wake_at:
                    wake_at = at
        for part in self.parts:
            if part.answer is None:
                for due_at in (part.hedge_at, part.retry_at, part.connect_check_at):
                    if due_at is not None and due_at < wake_at:
                        wake_at = due_at
        return wake_at

    def wake(self, now: float) -> list[CallAction]:
        """Send the hedges and retries that are due, and answer if it is time."""
        if self.is_finished:
            return []
        actions: list[CallAction] = []
        if now >= self.request.deadline or self._can_answer(now):
            return self._finish(actions)
        for part in self.parts:
            if part.answer is not None:
                continue
            if part.connect_check_at is not None and part.connect_check_at <= now:
                self._check_connecting(part, now, actions)
            if part.retry_at is not None and part.retry_at <= now:
                part.retry_at = None
                self._send_part(part, now, actions)
            elif part.hedge_at is not None and part.hedge_at <= now:
                self._hedge(part, now, actions)
        return self._finish_if_done(actions, now)

    def abandon(self) -> None:
        """Send nothing more, because the caller has disconnected."""
        self.is_finished = True

    def finish_now(self) -> list[CallAction]:
        """Finish with the answers received so far, as the instance is about to stop."""
        return [] if self.is_finished else self._finish([])

    def fail(self, sent: Collection[int]) -> CallResult:
        """End the call after an unexpected error; return the result for its caller.

        `sent` are the attempts that may have reached a server. All others are
        withdrawn, so that nothing stays counted for them at their servers.
        """
        self.is_finished = True
        for attempt, part in list(self._parts_by_attempt.items()):
            if attempt not in sent:
                del self._parts_by_attempt[attempt]
                self._chooser.on_cancelled(part.attempts.pop(attempt).entry, attempt)
                part.possible_runs -= 1
        may_have_run = any(part.possible_runs > 0 or part.answer for part in self.parts)
        return CallResult(
            CallOutcome.UNKNOWN if may_have_run else CallOutcome.NOT_RUN,
            CallReason.INTERNAL_ERROR,
            (),
            Coverage(self._answered_parts, len(self.parts)),
            self.sends,
            self.extras,
            RETRY_AFTER_S,
        )

    def find_obstacle(self, attempt: int, now: float) -> Ineligibility | None:
        """Return why an attempt that was placed may not be sent any more, or None."""
        part = self._parts_by_attempt.get(attempt)
        if self.is_finished or part is None or part.answer is not None:
            return Ineligibility.NOT_WANTED
        if self._chooser.crash_watch.is_held(self.request.fingerprint, now):
            return Ineligibility.CRASHES_SERVERS
        placed = part.attempts[attempt]
        return self._chooser.eligibility.find_obstacle(
            placed.entry, self.route, placed.counted, now
        )

    def on_attempt_written(self, attempt: int, now: float) -> None:
        """Record that an attempt was written to a connection."""
        placed = self._parts_by_attempt[attempt].attempts[attempt]
        self._chooser.on_written(placed.entry, attempt, placed.counted, now)

    def on_attempt_result(
        self, attempt: int, result: AttemptResult, now: float
    ) -> list[CallAction]:
        """Record the result of an attempt and answer, retry or wait."""
        part = self._parts_by_attempt.pop(attempt, None)
        if part is None:
            return []
        entry = part.attempts.pop(attempt).entry
        self._chooser.on_result(result, entry, attempt, now)
        if self.is_finished or part.answer is not None:
            return []
        actions: list[CallAction] = []
        if isinstance(result, BackendAnswer) and self._is_final(result):
            part.answer = result
            part.is_repeat = True
            self._answered_parts += 1
            actions.extend(CancelUnsent(other) for other in part.attempts)
            if self._answered_parts == len(self.parts):
                return self._finish(actions)
            return actions
        self._record_failure(part, result)
        if now < self.request.deadline and not self._can_answer(now):
            self._retry(part, result, now, actions)
        return self._finish_if_done(actions, now)

    def _is_stopped_by_limits(self, now: float) -> bool:
        """Return whether the limits of servers leave too few parts for an answer.

        The parts that could be sent would use up limits in vain.
        """
        stopped = sum(
            self._chooser.eligibility.is_stopped_by_limits(
                part.service, self.route, now
            )
            for part in self.parts
        )
        available = len(self.parts) - stopped
        if not stopped or (available and self._answer_rule.has_min_coverage(available)):
            return False
        self._last_failure_reason = CallReason.SERVER_LIMIT
        return True

    def _is_turned_away(self, now: float) -> bool:
        """Return whether servers that want nothing leave too few parts for an answer.

        The caller is told when enough of them take requests again.
        """
        delays = [
            self._chooser.find_return_delay_s(part.service, self.route, now)
            for part in self.parts
        ]
        known = sorted(delay for delay in delays if delay is not None)
        available = len(self.parts) - len(known)
        for delay in known:
            if available and self._answer_rule.has_min_coverage(available):
                break
            self._retry_after_s = delay
            available += 1
        if self._retry_after_s is not None:
            self._last_failure_reason = CallReason.TURNED_AWAY
        return self._retry_after_s is not None

    def _is_final(self, answer: BackendAnswer) -> bool:
        if self._is_query:
            return answer.is_success
        return answer.verdict is Verdict.ANSWERED

    def _record_failure(self, part: PartCall, result: AttemptResult) -> None:
        if did_not_run(result):
            part.possible_runs -= 1
        if not isinstance(result, ConnectionFailure) or result.may_have_been_sent:
            part.is_repeat = True
        if isinstance(result, BackendAnswer):
            self._last_failure_reason = get_failure_reason(result)
            if result.verdict is Verdict.FAILED:
                part.failed_answer = result
        elif result.may_have_been_sent:
            self._last_failure_reason = CallReason.SERVER_LOST

    def _retry(
        self,
        part: PartCall,
        result: AttemptResult,
        now: float,
        actions: list[CallAction],
    ) -> None:
        """Send a part again if none of its attempts is in flight and it is safe.

        It is safe if the server did not run the request or the route is idempotent.
        """
        if part.attempts:
            return
        part.hedge_at = None
        if did_not_run(result) or self.route.idempotent:
            self._send_part(part, now, actions)

    def _send_part(self, part: PartCall, now: float, actions: list[CallAction]) -> None:
        """Send a part to the best untried server, or schedule a retry if none fits."""
        if (
            part.possible_runs >= self.route.most_servers
            or part.sends >= MAX_SENDS_PER_PART
        ):
            return
        if self._is_held(part, now):
            part.retry_at = None
            return
        entry = self._chooser.choose(part.service, self.route, part.tried_servers, now)
        if entry is None:
            part.repeat_refusal = RepeatRefusal.NO_SERVER
            part.tried_servers.clear()
            part.retry_at = now + RETRY_DELAY_S
            return
        if part.is_repeat and not self._acquire_repeat(part, now):
            part.retry_at = now + RETRY_DELAY_S
            return
        self._send_to(part, entry, now, actions)

    def _send_to(
        self,
        part: PartCall,
        entry: ServerEntry,
        now: float,
        actions: list[CallAction],
    ) -> None:
        attempt = self._next_attempt
        self._next_attempt += 1
        self.sends += 1
        self.extras += part.is_repeat
        counted = self._chooser.on_send(entry, attempt, now)
        part.attempts[attempt] = PartAttempt(entry, now, counted)
        self._parts_by_attempt[attempt] = part
        part.tried_servers.add(entry.server)
        part.possible_runs += 1
        part.sends += 1
        part.retry_at = None
        may_be_hedged = (
            self.route.idempotent
            and part.possible_runs < self.route.most_servers
            and part.sends < MAX_SENDS_PER_PART
        )
        if may_be_hedged:
            target_at = self.request.target_at
            part.hedge_at = self._chooser.compute_hedge_time(entry, target_at, now)
        else:
            part.hedge_at = None
        part.connect_check_at = self._chooser.compute_connect_check_time(
            entry, self.route, now
        )
        actions.append(SendAttempt(attempt, entry, part.is_repeat))
        if part.hedge_at is not None:
            hedge_entry = self._chooser.choose_preconnect(
                part.service, self.route, part.tried_servers, now
            )
            if hedge_entry is not None:
                actions.append(PreconnectServer(hedge_entry))

    def _hedge(self, part: PartCall, now: float, actions: list[CallAction]) -> None:
        """Send a part to another server if a hedge is allowed and worthwhile."""
        for attempt in part.attempts.values():
            self._chooser.on_overdue(attempt.entry, part.hedge_at or now, now)
        part.hedge_at = None
        if self._is_held(part, now):
            return
        entry = self._chooser.choose(part.service, self.route, part.tried_servers, now)
        if entry is None:
            part.repeat_refusal = RepeatRefusal.NO_OTHER_SERVER
            return
        expected_at = now + self._chooser.expected_latency_with_connect_s(entry, now)
        answer_at = self._expected_answer_at(part, now)
        if not is_hedge_sooner(answer_at, expected_at, MIN_HEDGE_MARGIN_S, now):
            part.repeat_refusal = RepeatRefusal.NOT_SOONER
            part.hedge_at = answer_at
            return
        is_in_time = expected_at + MIN_HEDGE_MARGIN_S < self.request.target_at
        if (
            not is_in_time
            and self._is_query
            and self._answer_rule.has_min_coverage(self._answered_parts)
        ):
            part.repeat_refusal = RepeatRefusal.TOO_LATE
            return
        if not self._acquire_repeat(part, now):
            part.hedge_at = now + RETRY_DELAY_S
            return
        part.is_repeat = True
        self._send_to(part, entry, now, actions)

    def _expected_answer_at(self, part: PartCall, now: float) -> float:
        """Return when the first answer of the attempts under way is expected."""
        expected = (
            attempt.sent_at + self._chooser.expected_latency_s(attempt.entry, now)
            for attempt in part.attempts.values()
        )
        return min(expected, default=now)

    def _check_connecting(
        self, part: PartCall, now: float, actions: list[CallAction]
    ) -> None:
        """Give up attempts that have no connection yet, if another server may take it.

        An attempt that was written goes on. The result of one that was not shows that
        nothing was sent, and the part is then sent to the other server.
        """
        check_at, part.connect_check_at = part.connect_check_at, None
        if check_at is None or not part.attempts:
            return
        other = self._chooser.choose(part.service, self.route, part.tried_servers, now)
        if other is None:
            return
        if not is_server_late(check_at, now):
            part.connect_check_at = connect_check_time(0.0, now)
            return
        actions.extend(
            CancelUnsent(attempt, ConnectionFailure.SLOW_CONNECT)
            for attempt in part.attempts
        )

    def _is_held(self, part: PartCall, now: float) -> bool:
        """Return whether nothing more is sent, as the request crashes servers."""
        if not self._chooser.crash_watch.is_held(self.request.fingerprint, now):
            return False
        part.repeat_refusal = RepeatRefusal.CRASHES_SERVERS
        self._last_failure_reason = CallReason.HELD
        return True

    def _acquire_repeat(self, part: PartCall, now: float) -> bool:
        """Spend one repeat of the budget; return whether it was granted."""
        part.repeat_refusal = self._chooser.repeats.acquire(part.service, now)
        return part.repeat_refusal is None

    def _can_answer(self, now: float) -> bool:
        return self._is_query and self._answer_rule.can_answer(
            self._answered_parts, now
        )

    def _finish_if_done(
        self, actions: list[CallAction], now: float
    ) -> list[CallAction]:
        if self._answered_parts == len(self.parts) or self._can_answer(now):
            return self._finish(actions)
        if self._is_unanswerable():
            return self._finish(actions)
        if not self._is_query and self._should_refuse():
            self._is_turned_away(now)
            return self._finish(actions)
        return actions

    def _is_unanswerable(self) -> bool:
        """Return whether no answer that may still arrive can complete the call."""
        if not self._is_query:
            return not self.parts[0].is_pending
        pending = sum(part.is_pending for part in self.parts)
        return self._answer_rule.is_coverage_unreachable(self._answered_parts, pending)

    def _should_refuse(self) -> bool:
        """Return whether to refuse now: nothing has run and no server is available."""
        part = self.parts[0]
        return (
            part.possible_runs <= 0 and not part.attempts and part.retry_at is not None
        )

    def _finish(self, actions: list[CallAction]) -> list[CallAction]:
        self.is_finished = True
        resolve = resolve_query if self._is_query else resolve_service_call
        outcome, reason, answers = resolve(
            self.parts,
            self._last_failure_reason,
            self._answer_rule.has_min_coverage(self._answered_parts),
        )
        retry_after_s = 0.0
        if outcome is CallOutcome.NOT_RUN:
            is_held = reason is CallReason.HELD
            retry_after_s = HELD_RETRY_AFTER_S if is_held else RETRY_AFTER_S
            if self._retry_after_s is not None:
                retry_after_s = self._retry_after_s
        result = CallResult(
            outcome,
            reason,
            answers,
            Coverage(self._answered_parts, len(self.parts)),
            self.sends,
            self.extras,
            retry_after_s,
        )
        return [*actions, FinishCall(result)]
