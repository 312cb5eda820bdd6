"""The claims that one holder keeps in memory."""

from collections import OrderedDict
from dataclasses import dataclass

from currantwharf.once.holders import CLAIM_RETENTION_S, HOLDER_SETTLE_S, HolderHistory
from currantwharf.wire import Claim, ClaimReply, ClaimResult, Reason

MAX_CLOCK_SKEW_S = 1.0  # between the clocks of a caller and an instance
MAX_CLAIMS = 50_000


@dataclass(slots=True)
class GrantedClaim:
    """A granted claim and, once known, the answer of its run.

    `token` identifies the attempt that made the claim, `digest` the content of its
    request.
    """

    token: str
    digest: str
    granted_at: float
    answer: str = ""


class ClaimTable:
    """Grant each request id to one attempt only.

    A claim is refused if this instance might not know of an earlier one: if it has been
    a holder of the id for less time than the request is old, if the request is older
    than the retained claims, or if it does not see a majority of the fleet. A refusal
    may cost an answer, but an additional grant would run a request twice. Times are
    Unix times in seconds.
    """

    def __init__(self, instance: str, history: HolderHistory) -> None:
        self.instance = instance
        self._history = history
        self._claims: OrderedDict[str, GrantedClaim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, claim: Claim, sees_majority: bool, unix_time: float) -> ClaimReply:
        """Grant or refuse `claim`; granting the same token again has no effect."""
        self._drop_expired(unix_time)
        granted_claim = self._claims.get(claim.request_id)
        if granted_claim is not None:
            return self._reply_to_granted(claim, granted_claim)
        if not sees_majority or not self._can_grant(claim, unix_time):
            return self._refuse(claim, Reason.CLAIM_REFUSED)
        if len(self._claims) >= MAX_CLAIMS:
            return self._refuse(claim, Reason.OVERLOADED)
        granted_claim = GrantedClaim(claim.token, claim.digest, unix_time)
        self._claims[claim.request_id] = granted_claim
        return ClaimReply(claim.request_id, claim.token, self.instance, True)

    def finish(self, result: ClaimResult) -> None:
        """Store the answer of a run, or drop the claim if the request did not run."""
        granted_claim = self._claims.get(result.request_id)
        if granted_claim is None or granted_claim.token != result.token:
            return
        if result.ran:
            granted_claim.answer = result.answer
        else:
            del self._claims[result.request_id]

    def _reply_to_granted(
        self, claim: Claim, granted_claim: GrantedClaim
    ) -> ClaimReply:
        if granted_claim.token == claim.token:
            return ClaimReply(claim.request_id, claim.token, self.instance, True)
        if granted_claim.digest != claim.digest:
            return self._refuse(claim, Reason.ID_REUSED)
        return ClaimReply(
            claim.request_id,
            claim.token,
            self.instance,
            False,
            Reason.ALREADY_CLAIMED,
            granted_claim.answer,
        )

    def _can_grant(self, claim: Claim, unix_time: float) -> bool:
        held_since = self._history.get_held_since(claim.request_id)
        if held_since is None or claim.issued_at < held_since + HOLDER_SETTLE_S:
            return False
        oldest = unix_time - CLAIM_RETENTION_S + MAX_CLOCK_SKEW_S
        return oldest < claim.issued_at < unix_time + MAX_CLOCK_SKEW_S

    def _refuse(self, claim: Claim, reason: Reason) -> ClaimReply:
        return ClaimReply(claim.request_id, claim.token, self.instance, False, reason)

    def _drop_expired(self, unix_time: float) -> None:
        # Claims are kept longer than the oldest request that could still be granted,
        # by twice the clock skew.
        kept_since = unix_time - CLAIM_RETENTION_S - 2 * MAX_CLOCK_SKEW_S
        while self._claims:
            oldest = next(iter(self._claims))
            if self._claims[oldest].granted_at >= kept_since:
                return
            del self._claims[oldest]
