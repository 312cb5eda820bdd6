"""Messages that claim a non-idempotent request, so that it runs at most once."""

from dataclasses import dataclass

from currantwharf.wire.reason import Reason


@dataclass(frozen=True, slots=True)
class Claim:
    """Request to a holder for the right to run the request `request_id`.

    A holder is an instance that stores the claims on that id. `token` identifies the
    attempt that makes the claim. `issued_at` is the Unix time in seconds at which the
    caller first sent the request, and `digest` is a digest of its class and body.
    """

    request_id: str
    token: str
    issued_at: float
    digest: str


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Grant or refusal of a claim; a refusal may carry the answer of an earlier run.

    `answer` is JSON text, or empty when there is no answer.
    """

    request_id: str
    token: str
    holder: str
    granted: bool
    reason: Reason = Reason.NONE
    answer: str = ""


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Report to a holder of how a claimed request ended.

    When `ran` is false, the request certainly did not run and the claim is released.
    Otherwise `answer` is stored for a caller that sends the request again.
    """

    request_id: str
    token: str
    ran: bool
    answer: str = ""
