"""The messages by which a non-idempotent request is claimed."""

from dataclasses import dataclass

from currantwharf.wire.reason import Reason


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask a holder for the right to run the request `request_id`.

    `token` names the one try that asks. `issued_at` is the Unix time in seconds at
    which the caller first sent the request, and `digest` a digest of its body.
    """

    request_id: str
    token: str
    issued_at: float
    digest: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Grant or refuse a claim; a refusal may carry the earlier run's answer.

    `answer` is a JSON text, empty when there is none.
    """

    request_id: str
    token: str
    holder: str
    granted: bool
    reason: Reason = Reason.NONE
    answer: str = ""


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Tell a holder how a claimed request ended.

    With `ran` false the request is proved not to have run and the claim is given
    back. Otherwise `answer` is kept for a caller that sends the request again.
    """

    request_id: str
    token: str
    ran: bool
    answer: str = ""
