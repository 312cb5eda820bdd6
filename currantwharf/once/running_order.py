"""One non-idempotent request (an order), claimed by its id and run at most once."""

from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod

import msgspec

from currantwharf.fleet import highest
from currantwharf.once.holders import MAJORITY
from currantwharf.policy.coverage import Coverage
from currantwharf.query.actions import Finish, QueryAction, SendToHolder, SendToOwner
from currantwharf.query.caller_request import CallerRequest
from currantwharf.query.delivery_failed import DeliveryFailed
from currantwharf.query.pinned_snapshot import pin_snapshot
from currantwharf.query.query_result import QueryResult
from currantwharf.query.router import Router
from currantwharf.wire import (
    Claim,
    ClaimReply,
    ClaimResult,
    Hit,
    Outcome,
    Reason,
    ShardAnswer,
    ShardRequest,
)

MAX_SENDS = 3  # each after a proof that the previous send did not run
# Subtracted from the time budget, so that a refusal of the owner arrives in time.
HOP_MARGIN_MS = 8.0


class RunningOrder:
    """Run one non-idempotent request.

    The order is sent only after a majority of the holders of its id have granted the
    claim of this attempt. It is sent again only after a proof that the previous send
    did not run. `query_id` identifies this attempt to run the order and is the token
    of its claim.
    """

    def __init__(
        self,
        query_id: str,
        request: CallerRequest,
        holders: tuple[str, ...],
        router: Router,
        encode: Callable[[QueryResult], bytes],
        now: float,
    ) -> None:
        self.query_id = query_id
        self.request = request
        self.dropped_answers = 0
        self._holders = holders
        self._router = router
        self._encode = encode
        self._replies: dict[str, ClaimReply] = {}
        self._claimed = False
        self._finished = False
        self._sent: ShardRequest | None = None
        self._send_count = 0
        self._tried: set[str] = set()
        versioned = router.current_config()
        assert versioned is not None
        snapshot = pin_snapshot(versioned, request.class_name)
        self._snapshot = snapshot
        self._shard = highest(request.key, snapshot.shards) or ""

    @property
    def is_finished(self) -> bool:
        """Whether the order has returned its result."""
        return self._finished

    def start(self, now: float) -> list[QueryAction]:
        """Send the claim to the holders."""
        if len(self._holders) < MAJORITY:
            return self._refuse(Reason.CLAIM_REFUSED)
        request = self.request
        claim = Claim(
            request.request_id, self.query_id, request.issued_at, request.fingerprint
        )
        return [SendToHolder(holder, claim) for holder in self._holders]

    def next_wake_at(self, now: float) -> float:
        """Return when `wake` is due next: at the deadline."""
        return max(self.request.deadline, now)

    def wake(self, now: float) -> list[QueryAction]:
        """Finish at the deadline with the outcome that can be proved."""
        if self._finished or now < self.request.deadline:
            return []
        if self._sent is not None:
            return self._finish(Outcome.UNKNOWN, Reason.DEADLINE)
        return self._refuse(Reason.DEADLINE)

    @singledispatchmethod
    def receive(
        self, message: ClaimReply | ShardAnswer | DeliveryFailed, now: float
    ) -> list[QueryAction]:
        """Process a message about the claim or about the send."""
        raise NotImplementedError(type(message))

    @receive.register
    def _(self, message: ClaimReply, now: float) -> list[QueryAction]:
        if self._finished or self._claimed or message.token != self.query_id:
            return []
        self._replies[message.holder] = message
        return self._evaluate_claim_replies(now)

    @receive.register
    def _(self, message: ShardAnswer, now: float) -> list[QueryAction]:
        sent = self._sent
        if self._finished or sent is None or not _is_answer_to(message, sent):
            self.dropped_answers += 1
            return []
        self._router.stats.on_end(sent.server)
        if message.outcome is Outcome.ANSWERED:
            return self._finish(Outcome.ANSWERED, Reason.NONE, message.hits)
        if message.outcome is Outcome.UNKNOWN:
            self._router.stats.on_failure(sent.server, now)
            return self._finish(Outcome.UNKNOWN, message.reason)
        return self._resend(message.reason, now)

    @receive.register
    def _(self, message: DeliveryFailed, now: float) -> list[QueryAction]:
        if self._finished:
            return []
        failed = message.message
        if isinstance(failed, Claim) and not self._claimed:
            reply = ClaimReply(
                failed.request_id,
                failed.token,
                message.peer,
                False,
                Reason.CLAIM_REFUSED,
            )
            self._replies[message.peer] = reply
            return self._evaluate_claim_replies(now)
        if isinstance(failed, ShardRequest) and not message.sent:
            return self._on_not_sent(failed, now)
        # The owner may have received the request and can answer until the deadline.
        return []

    def _on_not_sent(self, failed: ShardRequest, now: float) -> list[QueryAction]:
        if failed != self._sent:
            return []
        self._router.stats.on_end(failed.server)
        return self._resend(Reason.PEER_LOST, now)

    def _evaluate_claim_replies(self, now: float) -> list[QueryAction]:
        replies = self._replies.values()
        granted = sum(1 for reply in replies if reply.granted)
        if granted >= MAJORITY:
            self._claimed = True
            return self._send(now)
        refused = [reply for reply in replies if not reply.granted]
        if len(self._holders) - len(refused) >= MAJORITY:
            return []
        reasons = [reply.reason for reply in refused]
        if reasons.count(Reason.ID_REUSED) >= MAJORITY:
            # A majority has a claim with another body, so this body never ran.
            return self._finish(Outcome.NOT_RUN, Reason.ID_REUSED)
        if Reason.ALREADY_CLAIMED in reasons:
            return self._finish_with_earlier_answer(refused)
        return self._refuse(reasons[-1])

    def _finish_with_earlier_answer(
        self, refused: list[ClaimReply]
    ) -> list[QueryAction]:
        """Return the answer of the earlier run if a holder has it."""
        release = self._send_claim_result(ran=False)
        for reply in refused:
            if reply.answer:
                earlier = msgspec.json.decode(reply.answer, type=QueryResult)
                self._finished = True
                return [*release, Finish(replace(earlier, duplicate=True))]
        return release + self._finish(Outcome.UNKNOWN, Reason.ALREADY_CLAIMED)

    def _refuse(self, reason: Reason) -> list[QueryAction]:
        """Finish when nothing that was sent can have run.

        If the claim was granted, no other attempt can run, so the request is proved
        not to have run. Otherwise another attempt with the same id may have run while
        this one waited.
        """
        outcome = Outcome.NOT_RUN if self._claimed else Outcome.UNKNOWN
        return self._send_claim_result(ran=False) + self._finish(outcome, reason)

    def _send(self, now: float) -> list[QueryAction]:
        request = self.request
        budget_ms = (request.deadline - now) * 1000 - HOP_MARGIN_MS
        if budget_ms <= 0:
            return self._refuse(Reason.DEADLINE)
        servers = self._snapshot.shards.get(self._shard, ())
        route = self._router.choose_route(servers, self._tried, now)
        if route is None:
            return self._refuse(Reason.NO_REPLICA)
        self._send_count += 1
        self._tried.add(route.server)
        self._router.stats.on_send(route.server)
        self._sent = ShardRequest(
            self.query_id,
            self._send_count,
            request.class_name,
            self._shard,
            route.server,
            self._snapshot.index_version,
            budget_ms,
            False,
            request.fingerprint,
            request.body,
        )
        return [SendToOwner(route.owner, self._sent)]

    def _resend(self, reason: Reason, now: float) -> list[QueryAction]:
        """Send again after a proof that the last send did not run."""
        self._sent = None
        if self._send_count >= MAX_SENDS or reason is Reason.QUARANTINED:
            return self._refuse(reason)
        return self._send(now)

    def _finish(
        self, outcome: Outcome, reason: Reason, hits: tuple[Hit, ...] = ()
    ) -> list[QueryAction]:
        self._finished = True
        answered = int(outcome is Outcome.ANSWERED)
        result = QueryResult(
            self.request.request_id,
            self.request.class_name,
            self.request.caller,
            outcome,
            reason,
            self._snapshot.index_version,
            Coverage(answered, 1),
            hits,
            min(self._send_count, 1),
            max(self._send_count - 1, 0),
        )
        actions: list[QueryAction] = []
        if self._claimed and outcome is not Outcome.NOT_RUN:
            answer = self._encode(result).decode() if answered else ""
            actions = self._send_claim_result(ran=True, answer=answer)
        return [*actions, Finish(result)]

    def _send_claim_result(self, ran: bool, answer: str = "") -> list[QueryAction]:
        result = ClaimResult(self.request.request_id, self.query_id, ran, answer)
        return [SendToHolder(holder, result) for holder in self._holders]


def _is_answer_to(message: ShardAnswer, sent: ShardRequest) -> bool:
    return (
        message.attempt == sent.attempt
        and message.server == sent.server
        and message.shard == sent.shard
    )
