"""One idempotent query: fan-out to all shards, hedging, retries and merging.

The query does no I/O. Its methods take messages and the current time and return
actions. The answer comes from one index version and one shard map. The coverage is
computed from that map and not from the requests that were sent.
"""

import random
from functools import singledispatchmethod

from currantwharf.owner import build_failure
from currantwharf.policy.coverage import Coverage
from currantwharf.query.actions import Finish, QueryAction
from currantwharf.query.caller_request import CallerRequest
from currantwharf.query.class_controller import ClassController
from currantwharf.query.delivery_failed import DeliveryFailed
from currantwharf.query.merge import merge_hits
from currantwharf.query.pinned_snapshot import pin_snapshot
from currantwharf.query.query_result import QueryResult
from currantwharf.query.router import Router
from currantwharf.query.shard_progress import Attempt, ShardProgress
from currantwharf.query.shard_sender import ShardSender
from currantwharf.wire import (
    Hit,
    Outcome,
    Reason,
    ShardAnswer,
    ShardRequest,
)

MAX_SENDS_PER_SHARD = 4  # per query, on one index version
# Base of the backoff of a retry that has no untried replica or no budget left; it
# doubles with each send of the shard.
RETRY_BASE_DELAY_S = 0.01
MAX_RESTARTS = 1  # of the whole query, on a newer index version

# Reasons that mean that the pinned snapshot is out of date.
SNAPSHOT_REASONS = frozenset({Reason.VERSION_GONE, Reason.SHARD_MOVED})
# Reasons that are not counted as a failure of the backend server.
NON_FAILURE_REASONS = frozenset(
    {Reason.NOT_OWNER, Reason.OVERLOADED, Reason.QUARANTINED, *SNAPSHOT_REASONS}
)


class RunningQuery:
    """Run one idempotent query from its first send to its result.

    `query_id` identifies the query and is part of all its messages.
    """

    def __init__(
        self,
        query_id: str,
        request: CallerRequest,
        router: Router,
        controller: ClassController,
        rng: random.Random,
        now: float,
    ) -> None:
        self.query_id = query_id
        self.request = request
        self.dropped_answers = 0
        self._router = router
        self._controller = controller
        self._rng = rng
        self._started_at = now
        self._sender = ShardSender(query_id, request, router)
        self._restarts = 0
        self._finished = False
        self._last_reason = Reason.NO_REPLICA
        self._wake_at = request.deadline
        self._has_quarantined_shard = False
        self._pin_snapshot()

    def start(self, now: float) -> list[QueryAction]:
        """Send a request to every shard of the pinned snapshot."""
        actions: list[QueryAction] = []
        self._controller.budget.add_sends(len(self._shards), now)
        self._wake_at = self._early_answer_time(now)
        for shard_name in self._shards:
            self._send(shard_name, now, actions, is_extra=False)
        return actions

    @property
    def is_finished(self) -> bool:
        """Whether the query has returned its result."""
        return self._finished

    def next_wake_at(self, now: float) -> float:
        """Return when `wake` is due next, in seconds of the monotonic clock.

        An answer never makes this time earlier, so answers do not recompute it.
        """
        return max(min(self._wake_at, self.request.deadline), now)

    def wake(self, now: float) -> list[QueryAction]:
        """Send due hedges and retries, or finish if an answer is due."""
        if self._finished:
            return []
        if now >= self.request.deadline or self._can_answer_now(now):
            return self._finish()
        actions: list[QueryAction] = []
        hedge_after_s = self._controller.get_policy(now).hedge_after_s
        self._wake_at = self._early_answer_time(now)
        for shard_name, shard in self._shards.items():
            if shard.hits is not None:
                continue
            if shard.retry_at is not None and shard.retry_at <= now:
                self._retry(shard_name, now, actions)
            elif self._should_hedge(shard, hedge_after_s, now):
                self._hedge(shard_name, now, actions)
            self._schedule_wake(shard, hedge_after_s)
        return actions

    def _early_answer_time(self, now: float) -> float:
        """Return when a partial answer is allowed, or the deadline if that has passed.

        A class that waits for the complete answer gets the deadline as well.
        """
        answer_after_s = self._controller.get_policy(now).answer_after_s
        if answer_after_s is None or self._started_at + answer_after_s <= now:
            return self.request.deadline
        return self._started_at + answer_after_s

    def _schedule_wake(self, shard: ShardProgress, hedge_after_s: float) -> None:
        """Set the next wake no later than the next retry or hedge of the shard."""
        if shard.retry_at is not None:
            self._wake_at = min(self._wake_at, shard.retry_at)
        elif not shard.hedged and len(shard.servers) > 1:
            for attempt in shard.attempts.values():
                self._wake_at = min(self._wake_at, attempt.sent_at + hedge_after_s)

    @singledispatchmethod
    def receive(
        self, message: ShardAnswer | DeliveryFailed, now: float
    ) -> list[QueryAction]:
        """Process the answer to an attempt, or its failed delivery."""
        raise NotImplementedError(type(message))

    @receive.register
    def _(self, message: ShardAnswer, now: float) -> list[QueryAction]:
        shard = self._shards.get(message.shard)
        attempt = shard.attempts.get(message.attempt) if shard else None
        if self._finished or shard is None or attempt is None:
            self.dropped_answers += 1
            return []
        if attempt.server != message.server:
            self.dropped_answers += 1
            return []
        if message.outcome is Outcome.ANSWERED:
            return self._on_answered(shard, attempt, message, now)
        return self._on_failed(message, message.shard, now)

    @receive.register
    def _(self, message: DeliveryFailed, now: float) -> list[QueryAction]:
        request = message.message
        if self._finished or not isinstance(request, ShardRequest):
            return []
        shard = self._shards.get(request.shard)
        if shard is None or request.attempt not in shard.attempts:
            return []
        outcome = Outcome.UNKNOWN if message.sent else Outcome.NOT_RUN
        answer = build_failure(request, outcome, Reason.PEER_LOST)
        return self._on_failed(answer, request.shard, now)

    def _pin_snapshot(self) -> None:
        versioned = self._router.current_config()
        assert versioned is not None
        self._snapshot = pin_snapshot(versioned, self.request.class_name)
        self._shards = {
            shard_name: ShardProgress(servers)
            for shard_name, servers in self._snapshot.shards.items()
        }
        self._answered = 0

    def _unanswered_shards(self) -> list[ShardProgress]:
        return [shard for shard in self._shards.values() if shard.hits is None]

    def _send(
        self, shard_name: str, now: float, actions: list[QueryAction], is_extra: bool
    ) -> None:
        shard = self._shards[shard_name]
        version = self._snapshot.index_version
        action = self._sender.send(shard_name, shard, version, is_extra, now)
        if action is None:
            self._schedule_retry(shard, now, is_extra=False)
            return
        actions.append(action)
        self._schedule_wake(shard, self._controller.get_policy(now).hedge_after_s)

    def _should_hedge(
        self, shard: ShardProgress, hedge_after_s: float, now: float
    ) -> bool:
        if shard.hedged or len(shard.servers) < 2 or len(shard.attempts) != 1:
            return False
        (attempt,) = shard.attempts.values()
        return now >= attempt.sent_at + hedge_after_s

    def _hedge(self, shard_name: str, now: float, actions: list[QueryAction]) -> None:
        shard = self._shards[shard_name]
        shard.hedged = True
        (slow,) = shard.attempts.values()
        self._router.stats.on_slow(slow.server, (now - slow.sent_at) * 1000, now)
        if self._sender.find_route(shard, now) and self._controller.budget.try_spend(
            now
        ):
            self._send(shard_name, now, actions, is_extra=True)

    def _retry(self, shard_name: str, now: float, actions: list[QueryAction]) -> None:
        shard = self._shards[shard_name]
        if shard.retry_is_extra and not self._controller.budget.try_spend(now):
            self._schedule_retry(shard, now, is_extra=True)
            return
        self._send(shard_name, now, actions, is_extra=shard.retry_is_extra)

    def _schedule_retry(self, shard: ShardProgress, now: float, is_extra: bool) -> None:
        if shard.sends >= MAX_SENDS_PER_SHARD:
            shard.retry_at = None
            return
        delay_s = RETRY_BASE_DELAY_S * 2**shard.sends * self._rng.uniform(0.5, 1.5)
        shard.retry_at = now + delay_s
        shard.retry_is_extra = is_extra
        self._wake_at = min(self._wake_at, shard.retry_at)

    def _on_answered(
        self, shard: ShardProgress, attempt: Attempt, message: ShardAnswer, now: float
    ) -> list[QueryAction]:
        if message.index_version != self._snapshot.index_version:
            self.dropped_answers += 1
            return []
        latency_s = now - attempt.sent_at
        self._controller.record(latency_s, now)
        self._router.stats.on_answer(
            attempt.server, latency_s * 1000, message.queue, now
        )
        self._router.stats.on_end(attempt.server)
        del shard.attempts[message.attempt]
        shard.hits = message.hits
        self._answered += 1
        actions = self._sender.cancel_attempts(shard, now)
        if self._answered == len(self._shards) or self._can_answer_now(now):
            actions.extend(self._finish())
        return actions

    def _on_failed(
        self, message: ShardAnswer, shard_name: str, now: float
    ) -> list[QueryAction]:
        shard = self._shards[shard_name]
        attempt = shard.attempts.pop(message.attempt)
        self._router.stats.on_end(attempt.server)
        self._last_reason = message.reason
        if message.reason in SNAPSHOT_REASONS and self._can_restart():
            return self._restart(now)
        if message.reason not in NON_FAILURE_REASONS:
            self._router.stats.on_failure(attempt.server, now)
        actions: list[QueryAction] = []
        if message.reason is Reason.QUARANTINED:
            self._has_quarantined_shard = True
            shard.sends = MAX_SENDS_PER_SHARD
        if shard.attempts or shard.sends >= MAX_SENDS_PER_SHARD:
            return self._finish_if_none_pending()
        may_have_run = message.outcome is Outcome.UNKNOWN
        has_untried = (
            self._router.choose_route(shard.servers, shard.tried, now) is not None
        )
        shard.retry_is_extra = may_have_run
        if has_untried:
            self._retry(shard_name, now, actions)
        else:
            self._schedule_retry(shard, now, may_have_run)
        return actions

    def _can_restart(self) -> bool:
        newest = self._router.current_config()
        return (
            self._restarts < MAX_RESTARTS
            and newest is not None
            and newest.version > self._snapshot.config_version
            and self.request.class_name in newest.config.classes
        )

    def _restart(self, now: float) -> list[QueryAction]:
        """Restart on the newest snapshot; answers for the old one are dropped."""
        actions: list[QueryAction] = []
        for shard in self._shards.values():
            actions.extend(self._sender.cancel_attempts(shard, now))
        self._restarts += 1
        self._pin_snapshot()
        return actions + self.start(now)

    def _can_answer_now(self, now: float) -> bool:
        answer_after_s = self._controller.get_policy(now).answer_after_s
        if answer_after_s is None or now < self._started_at + answer_after_s:
            return False
        return self._coverage().share >= self._controller.targets.coverage

    def _coverage(self) -> Coverage:
        return Coverage(self._answered, len(self._shards))

    def _finish_if_none_pending(self) -> list[QueryAction]:
        """Finish early if no unanswered shard has an attempt or a retry pending."""
        for shard in self._unanswered_shards():
            if shard.attempts or shard.retry_at is not None:
                return []
        return self._finish()

    def _finish(self) -> list[QueryAction]:
        coverage = self._coverage()
        hits: tuple[Hit, ...] = ()
        if coverage.shards and coverage.share >= self._controller.targets.coverage:
            outcome, reason = Outcome.ANSWERED, Reason.NONE
            hit_lists = [s.hits for s in self._shards.values() if s.hits is not None]
            hits = merge_hits(hit_lists)
        elif self._sender.first_sends + self._sender.extra_sends == 0:
            outcome, reason = Outcome.NOT_RUN, self._last_reason
        else:
            failure_reason = (
                Reason.QUARANTINED
                if self._has_quarantined_shard
                else Reason.COVERAGE_TOO_LOW
            )
            outcome, reason = Outcome.UNKNOWN, failure_reason
        actions: list[QueryAction] = []
        for shard in self._shards.values():
            actions.extend(self._sender.cancel_attempts(shard, None))
        self._finished = True
        result = QueryResult(
            self.request.request_id,
            self.request.class_name,
            self.request.caller,
            outcome,
            reason,
            self._snapshot.index_version,
            coverage,
            hits,
            self._sender.first_sends,
            self._sender.extra_sends,
            self._restarts,
        )
        return [*actions, Finish(result)]
