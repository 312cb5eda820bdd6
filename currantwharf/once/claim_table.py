"""The claims that one holder keeps in its memory."""

from collections import OrderedDict
from dataclasses import dataclass

from currantwharf.once.holders import RETENTION_S, SETTLE_S, HolderHistory
from currantwharf.wire import Claim, ClaimReply, ClaimResult, Reason

CLOCK_SKEW_S = 1.0  # seconds between the clocks of a caller and an instance
MOST_CLAIMS = 50_000  # claims


@dataclass(slots=True)
class HeldClaim:
    """Hold one granted claim and, once known, the answer of its run."""

    token: str
    digest: str
    granted_at: float
    answer: str = ""


class ClaimTable:
    """Grant each request id to one try only.

    A claim is refused while this instance can't vouch for the id: when it has held
    the id for less time than the request is old, when the request is older than the
    claims it keeps, or when it does not see most of the fleet. Each refusal may cost
    an answer; a grant too many would run a request twice. Times are Unix times.
    """

    def __init__(self, instance: str, history: HolderHistory) -> None:
        self.instance = instance
        self._history = history
        self._claims: OrderedDict[str, HeldClaim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, claim: Claim, sees_majority: bool, wall: float) -> ClaimReply:
        """Grant or refuse `claim`; granting the same token again changes nothing."""
        self._drop_old(wall)
        held = self._claims.get(claim.request_id)
        if held is not None:
            return self._reply_to_held(claim, held)
        if not sees_majority or not self._can_vouch(claim, wall):
            return self._refuse(claim, Reason.CLAIM_REFUSED)
        if len(self._claims) >= MOST_CLAIMS:
            return self._refuse(claim, Reason.OVERLOADED)
        held = HeldClaim(claim.token, claim.digest, wall)
        self._claims[claim.request_id] = held
        return ClaimReply(claim.request_id, claim.token, self.instance, True)

    def finish(self, result: ClaimResult) -> None:
        """Keep the answer of a run, or take the claim back when it did not run."""
        held = self._claims.get(result.request_id)
        if held is None or held.token != result.token:
            return
        if result.ran:
            held.answer = result.answer
        else:
            del self._claims[result.request_id]

    def _reply_to_held(self, claim: Claim, held: HeldClaim) -> ClaimReply:
        if held.token == claim.token:
            return ClaimReply(claim.request_id, claim.token, self.instance, True)
        if held.digest != claim.digest:
            return self._refuse(claim, Reason.ID_REUSED)
        return ClaimReply(
            claim.request_id,
            claim.token,
            self.instance,
            False,
            Reason.ALREADY_CLAIMED,
            held.answer,
        )

    def _can_vouch(self, claim: Claim, wall: float) -> bool:
        since = self._history.holder_since(claim.request_id)
        if since is None or claim.issued_at < since + SETTLE_S:
            return False
        oldest = wall - RETENTION_S + CLOCK_SKEW_S
        return oldest < claim.issued_at < wall + CLOCK_SKEW_S

    def _refuse(self, claim: Claim, reason: Reason) -> ClaimReply:
        return ClaimReply(claim.request_id, claim.token, self.instance, False, reason)

    def _drop_old(self, wall: float) -> None:
        # A claim outlives the oldest request that could still be granted, by twice
        # the skew of the clocks.
        kept_since = wall - RETENTION_S - 2 * CLOCK_SKEW_S
        while self._claims:
            oldest = next(iter(self._claims))
            if self._claims[oldest].granted_at >= kept_since:
                return
            del self._claims[oldest]
