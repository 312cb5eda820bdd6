"""One request on its way through the gateway: sent, hedged, retried and answered.

The call does no I/O. It takes results with the present time and returns actions. A
call has a part for each shard of its route, or a single part for a route to one
service; all parts come from the configuration that was in force when it began.
"""

from currantwharf.gateway.answer_rule import AnswerRule
from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.call_actions import (
    CallAction,
    FinishCall,
    PrepareServer,
    SendAttempt,
    WithdrawUnsent,
)
from currantwharf.gateway.call_outcome import (
    did_not_run,
    merged_result,
    reason_of,
    relayed_result,
)
from currantwharf.gateway.call_result import CallOutcome, CallReason, CallResult
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.part_call import PartAttempt, PartCall
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.gateway.route import Route
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import ConnectionFailure
from currantwharf.policy.coverage import Coverage

RETRY_S = 0.04  # seconds before a server is looked for again
MOST_SENDS = 6  # sends of one part; rejections cost the budget as well
LEAST_GAIN_S = 0.002  # seconds by which a hedge has to beat the target
RETRY_AFTER_S = 0.25  # seconds after which a refused caller may find a server


class RunningCall:
    """Drive one request from its first send to its result."""

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
        sent = request.prior_sends
        self.parts = [
            PartCall(service, ran_on=sent, arrived=sent > 0) for service in services
        ]
        self._chooser = chooser
        self._next_attempt = first_attempt
        self._part_of: dict[int, PartCall] = {}
        self._answered = 0
        self._merges = bool(route.shards)
        self._last_reason = CallReason.NO_SERVER
        self._rule = AnswerRule(route, request.target_at, len(services))

    @staticmethod
    def most_attempts(parts: int) -> int:
        """Return the number of attempts that a call with so many parts may make."""
        return parts * MOST_SENDS

    def start(self, now: float) -> list[CallAction]:
        """Send every part."""
        actions: list[CallAction] = []
        for part in self.parts:
            self._chooser.begin(part.service, now)
            self._send(part, now, actions)
        return self._finish_if_done(actions, now)

    def next_wake(self, now: float) -> float:
        """Return when `wake` is due next, in seconds of the monotonic clock."""
        wake_at = self.request.deadline
        if self._merges:
            for at in (self.request.target_at, self._rule.late_at):
                if now < at < wake_at:
                    wake_at = at
        for part in self.parts:
            if part.answer is None:
                for due_at in (part.hedge_at, part.retry_at):
                    if due_at is not None and due_at < wake_at:
                        wake_at = due_at
        return wake_at

    def wake(self, now: float) -> list[CallAction]:
        """Hedge, retry or answer, as the time has come for."""
        if self.is_finished:
            return []
        actions: list[CallAction] = []
        if now >= self.request.deadline or self._may_answer(now):
            return self._finish(actions)
        for part in self.parts:
            if part.answer is not None:
                continue
            if part.retry_at is not None and part.retry_at <= now:
                part.retry_at = None
                self._send(part, now, actions)
            elif part.hedge_at is not None and part.hedge_at <= now:
                self._hedge(part, now, actions)
        return self._finish_if_done(actions, now)

    def abandon(self) -> None:
        """Send nothing more: the caller has left."""
        self.is_finished = True

    def give_up(self) -> list[CallAction]:
        """Answer with what is there: the instance is about to end."""
        return [] if self.is_finished else self._finish([])

    def on_attempt_result(
        self, attempt: int, result: AttemptResult, now: float
    ) -> list[CallAction]:
        """Take the result of an attempt."""
        part = self._part_of.pop(attempt, None)
        if part is None:
            return []
        entry = part.attempts.pop(attempt).entry
        self._chooser.on_result(result, entry, attempt, now)
        if self.is_finished or part.answer is not None:
            return []
        actions: list[CallAction] = []
        if isinstance(result, BackendAnswer) and self._is_final(result):
            part.answer = result
            part.arrived = True
            self._answered += 1
            actions.extend(WithdrawUnsent(other) for other in part.attempts)
            if self._answered == len(self.parts):
                return self._finish(actions)
            return actions
        self._on_failed(part, result)
        if now < self.request.deadline and not self._may_answer(now):
            self._send_again(part, result, now, actions)
        return self._finish_if_done(actions, now)

    def _is_final(self, answer: BackendAnswer) -> bool:
        if self._merges:
            return answer.is_success
        return answer.verdict is Verdict.ANSWERED

    def _on_failed(self, part: PartCall, result: AttemptResult) -> None:
        if did_not_run(result):
            part.ran_on -= 1
        if not isinstance(result, ConnectionFailure) or result.may_have_been_sent:
            part.arrived = True
        if isinstance(result, BackendAnswer):
            self._last_reason = reason_of(result)
            if result.verdict is Verdict.FAILED:
                part.failure = result
        elif result.may_have_been_sent:
            self._last_reason = CallReason.SERVER_LOST

    def _send_again(
        self,
        part: PartCall,
        result: AttemptResult,
        now: float,
        actions: list[CallAction],
    ) -> None:
        if part.attempts:
            return
        part.hedge_at = None
        if did_not_run(result) or self.route.idempotent:
            self._send(part, now, actions)

    def _send(self, part: PartCall, now: float, actions: list[CallAction]) -> None:
        """Send a part to the best server that has not got it, if it may be sent."""
        if part.ran_on >= self.route.most_servers or part.sends >= MOST_SENDS:
            return
        entry = self._chooser.choose(part.service, self.route, part.tried, now)
        if entry is None:
            part.why_not_again = RepeatRefusal.NO_SERVER
            part.tried.clear()
            part.retry_at = now + RETRY_S
            return
        if part.arrived and not self._may_repeat(part, now):
            part.retry_at = now + RETRY_S
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
        self.extras += part.arrived
        part.attempts[attempt] = PartAttempt(entry, now)
        part.tried.add(entry.server)
        part.ran_on += 1
        part.sends += 1
        part.retry_at = None
        if self.route.idempotent and part.ran_on < self.route.most_servers:
            target_at = self.request.target_at
            part.hedge_at = self._chooser.hedge_time(entry, target_at, now)
        else:
            part.hedge_at = None
        self._part_of[attempt] = part
        self._chooser.on_send(entry, attempt, now)
        actions.append(SendAttempt(attempt, entry, part.arrived))
        if part.hedge_at is not None:
            other = self._chooser.to_prepare(part.service, self.route, part.tried, now)
            if other is not None:
                actions.append(PrepareServer(other))

    def _hedge(self, part: PartCall, now: float, actions: list[CallAction]) -> None:
        part.hedge_at = None
        entry = self._chooser.choose(part.service, self.route, part.tried, now)
        if entry is None:
            part.why_not_again = RepeatRefusal.NO_OTHER_SERVER
            return
        arrival = now + self._chooser.latency_s(entry, now)
        in_time = arrival + LEAST_GAIN_S < self.request.target_at
        if not in_time and self._merges and self._rule.is_enough(self._answered):
            part.why_not_again = RepeatRefusal.TOO_LATE
            return
        if not self._may_repeat(part, now):
            part.hedge_at = now + RETRY_S
            return
        part.arrived = True
        self._send_to(part, entry, now, actions)

    def _may_repeat(self, part: PartCall, now: float) -> bool:
        part.why_not_again = self._chooser.why_not_repeat(
            part.service, self.request.fingerprint, now
        )
        return part.why_not_again is None

    def _may_answer(self, now: float) -> bool:
        return self._merges and self._rule.may_answer(self._answered, now)

    def _finish_if_done(
        self, actions: list[CallAction], now: float
    ) -> list[CallAction]:
        if self._answered == len(self.parts) or self._may_answer(now):
            return self._finish(actions)
        if self._is_hopeless():
            return self._finish(actions)
        if not self._merges and self._is_refused_now():
            return self._finish(actions)
        return actions

    def _is_hopeless(self) -> bool:
        """Return whether nothing that may still come makes an answer."""
        if not self._merges:
            return not self.parts[0].is_open
        still_open = sum(part.is_open for part in self.parts)
        return self._rule.is_hopeless(self._answered, still_open)

    def _is_refused_now(self) -> bool:
        """Return whether no server takes the request: its caller is told at once."""
        part = self.parts[0]
        return part.ran_on <= 0 and not part.attempts and part.retry_at is not None

    def _finish(self, actions: list[CallAction]) -> list[CallAction]:
        self.is_finished = True
        build = merged_result if self._merges else relayed_result
        outcome, reason, answers = build(
            self.parts, self._last_reason, self._rule.is_enough(self._answered)
        )
        retry_after_s = RETRY_AFTER_S if outcome is CallOutcome.NOT_RUN else 0.0
        result = CallResult(
            outcome,
            reason,
            answers,
            Coverage(self._answered, len(self.parts)),
            self.sends,
            self.extras,
            retry_after_s,
        )
        return [*actions, FinishCall(result)]
