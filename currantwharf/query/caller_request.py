"""A validated request of a caller."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, after its input has been validated.

    `request_id` is chosen by the caller. `deadline` is in seconds of the monotonic
    clock. `issued_at` is the Unix time in seconds at which the caller first sent the
    request, and `resend` is true if the caller has sent it before. `key` selects the
    shard of a non-idempotent request. `fingerprint` is a digest of the class and body.
    """

    request_id: str
    class_name: str
    caller: str
    deadline: float
    issued_at: float
    resend: bool
    key: str
    fingerprint: str
    body: msgspec.Raw
