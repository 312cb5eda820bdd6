"""An idempotent query on its way: every shard asked, hedged, retried and merged.

The query does no I/O. It takes messages with the present time and returns actions;
the answer it gives is of one index version and one shard map, and the coverage is
counted from that map, never from what was asked.
"""

import random
from functools import singledispatchmethod

from currantwharf.owner import unanswered
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

MOST_SENDS = 4  # sends of one shard in one query
RETRY_WAIT_S = 0.01  # seconds before the first retry on the same set of replicas
MOST_RESTARTS = 1  # restarts of the whole query on a newer index version

SNAPSHOT_REASONS = frozenset({Reason.VERSION_GONE, Reason.SHARD_MOVED})
BLAMELESS_REASONS = frozenset(
    {Reason.NOT_OWNER, Reason.OVERLOADED, Reason.QUARANTINED, *SNAPSHOT_REASONS}
)


class RunningQuery:
    """Drive one idempotent query from its first send to its result."""

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
        self._is_held = False
        self._pin()

    def start(self, now: float) -> list[QueryAction]:
        """Ask every shard of the pinned map."""
        actions: list[QueryAction] = []
        self._controller.budget.add_sends(len(self._shards), now)
        self._wake_at = self._answer_time(now)
        for name in self._shards:
            self._send(name, now, actions, extra=False)
        return actions

    @property
    def is_finished(self) -> bool:
        """Whether the result has been given."""
        return self._finished

    def next_wake(self, now: float) -> float:
        """Return when `wake` is due next, in seconds of the monotonic clock.

        An answer never makes it earlier, so it is not worked out anew for each.
        """
        return max(min(self._wake_at, self.request.deadline), now)

    def wake(self, now: float) -> list[QueryAction]:
        """Hedge, retry or answer, as the time has come for."""
        if self._finished:
            return []
        if now >= self.request.deadline or self._may_answer_now(now):
            return self._finish()
        actions: list[QueryAction] = []
        hedge_after = self._controller.policy(now).hedge_after_s
        self._wake_at = self._answer_time(now)
        for name, shard in self._shards.items():
            if shard.hits is not None:
                continue
            if shard.retry_at is not None and shard.retry_at <= now:
                self._retry(name, now, actions)
            elif self._should_hedge(shard, hedge_after, now):
                self._hedge(name, now, actions)
            self._note_wake(shard, hedge_after)
        return actions

    def _answer_time(self, now: float) -> float:
        """Return when an incomplete answer may go out, if that is still to come."""
        answer_after = self._controller.policy(now).answer_after_s
        if answer_after is None or self._started_at + answer_after <= now:
            return self.request.deadline
        return self._started_at + answer_after

    def _note_wake(self, shard: ShardProgress, hedge_after: float) -> None:
        """Wake no later than the shard's next retry or hedge."""
        if shard.retry_at is not None:
            self._wake_at = min(self._wake_at, shard.retry_at)
        elif not shard.hedged and len(shard.servers) > 1:
            for attempt in shard.attempts.values():
                self._wake_at = min(self._wake_at, attempt.sent_at + hedge_after)

    @singledispatchmethod
    def receive(
        self, message: ShardAnswer | DeliveryFailed, now: float
    ) -> list[QueryAction]:
        """Take a message about one attempt."""
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
        answer = unanswered(request, outcome, Reason.PEER_LOST)
        return self._on_failed(answer, request.shard, now)

    def _pin(self) -> None:
        versioned = self._router.current_config()
        assert versioned is not None
        self._snapshot = pin_snapshot(versioned, self.request.class_name)
        self._shards = {
            name: ShardProgress(servers)
            for name, servers in self._snapshot.shards.items()
        }
        self._answered = 0

    def _open_shards(self) -> list[ShardProgress]:
        return [shard for shard in self._shards.values() if shard.hits is None]

    def _send(
        self, name: str, now: float, actions: list[QueryAction], extra: bool
    ) -> None:
        shard = self._shards[name]
        version = self._snapshot.index_version
        action = self._sender.send(name, shard, version, extra, now)
        if action is None:
            self._plan_retry(shard, now, extra=False)
            return
        actions.append(action)
        self._note_wake(shard, self._controller.policy(now).hedge_after_s)

    def _should_hedge(
        self, shard: ShardProgress, hedge_after: float, now: float
    ) -> bool:
        if shard.hedged or len(shard.servers) < 2 or len(shard.attempts) != 1:
            return False
        (attempt,) = shard.attempts.values()
        return now >= attempt.sent_at + hedge_after

    def _hedge(self, name: str, now: float, actions: list[QueryAction]) -> None:
        shard = self._shards[name]
        shard.hedged = True
        (slow,) = shard.attempts.values()
        self._router.stats.on_slow(slow.server, (now - slow.sent_at) * 1000, now)
        if self._sender.find_route(shard, now) and self._controller.budget.try_spend(
            now
        ):
            self._send(name, now, actions, extra=True)

    def _retry(self, name: str, now: float, actions: list[QueryAction]) -> None:
        shard = self._shards[name]
        if shard.retry_is_extra and not self._controller.budget.try_spend(now):
            self._plan_retry(shard, now, extra=True)
            return
        self._send(name, now, actions, extra=shard.retry_is_extra)

    def _plan_retry(self, shard: ShardProgress, now: float, extra: bool) -> None:
        if shard.sends >= MOST_SENDS:
            shard.retry_at = None
            return
        wait = RETRY_WAIT_S * 2**shard.sends * self._rng.uniform(0.5, 1.5)
        shard.retry_at = now + wait
        shard.retry_is_extra = extra
        self._wake_at = min(self._wake_at, shard.retry_at)

    def _on_answered(
        self, shard: ShardProgress, attempt: Attempt, message: ShardAnswer, now: float
    ) -> list[QueryAction]:
        if message.index_version != self._snapshot.index_version:
            self.dropped_answers += 1
            return []
        latency = now - attempt.sent_at
        self._controller.record(latency, now)
        self._router.stats.on_answer(attempt.server, latency * 1000, message.queue, now)
        self._router.stats.on_end(attempt.server)
        del shard.attempts[message.attempt]
        shard.hits = message.hits
        self._answered += 1
        actions = self._sender.cancel(shard, now)
        if self._answered == len(self._shards) or self._may_answer_now(now):
            actions.extend(self._finish())
        return actions

    def _on_failed(
        self, message: ShardAnswer, name: str, now: float
    ) -> list[QueryAction]:
        shard = self._shards[name]
        attempt = shard.attempts.pop(message.attempt)
        self._router.stats.on_end(attempt.server)
        self._last_reason = message.reason
        if message.reason in SNAPSHOT_REASONS and self._can_restart():
            return self._restart(now)
        if message.reason not in BLAMELESS_REASONS:
            self._router.stats.on_failure(attempt.server, now)
        actions: list[QueryAction] = []
        if message.reason is Reason.QUARANTINED:
            self._is_held = True
            shard.sends = MOST_SENDS
        if shard.attempts or shard.sends >= MOST_SENDS:
            return self._finish_if_hopeless()
        ran = message.outcome is Outcome.UNKNOWN
        untried = self._router.choose(shard.servers, shard.tried, now) is not None
        shard.retry_is_extra = ran
        if untried:
            self._retry(name, now, actions)
        else:
            self._plan_retry(shard, now, ran)
        return actions

    def _can_restart(self) -> bool:
        newest = self._router.current_config()
        return (
            self._restarts < MOST_RESTARTS
            and newest is not None
            and newest.version > self._snapshot.config_version
            and self.request.class_name in newest.config.classes
        )

    def _restart(self, now: float) -> list[QueryAction]:
        """Begin again on the newest snapshot; answers to the old one are dropped."""
        actions: list[QueryAction] = []
        for shard in self._shards.values():
            actions.extend(self._sender.cancel(shard, now))
        self._restarts += 1
        self._pin()
        return actions + self.start(now)

    def _may_answer_now(self, now: float) -> bool:
        answer_after = self._controller.policy(now).answer_after_s
        if answer_after is None or now < self._started_at + answer_after:
            return False
        return self._coverage().share >= self._controller.targets.coverage

    def _coverage(self) -> Coverage:
        return Coverage(self._answered, len(self._shards))

    def _finish_if_hopeless(self) -> list[QueryAction]:
        """Answer early when no open shard has an attempt or a retry left."""
        for shard in self._open_shards():
            if shard.attempts or shard.retry_at is not None:
                return []
        return self._finish()

    def _finish(self) -> list[QueryAction]:
        coverage = self._coverage()
        hits: tuple[Hit, ...] = ()
        if coverage.shards and coverage.share >= self._controller.targets.coverage:
            outcome, reason = Outcome.ANSWERED, Reason.NONE
            groups = [s.hits for s in self._shards.values() if s.hits is not None]
            hits = merge_hits(groups)
        elif self._sender.sends + self._sender.extras == 0:
            outcome, reason = Outcome.NOT_RUN, self._last_reason
        else:
            held = Reason.QUARANTINED if self._is_held else Reason.COVERAGE_TOO_LOW
            outcome, reason = Outcome.UNKNOWN, held
        actions: list[QueryAction] = []
        for shard in self._shards.values():
            actions.extend(self._sender.cancel(shard, None))
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
            self._sender.sends,
            self._sender.extras,
            self._restarts,
        )
        return [*actions, Finish(result)]
