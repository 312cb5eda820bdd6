"""A caller's request after its input has been checked."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request of a caller.

    `request_id` is the caller's own id. `deadline` is in seconds of the monotonic
    clock. `issued_at` is the Unix time in seconds at which the caller first sent the
    request, and `resend` says that it has sent it before. `key` chooses the shard of
    a non-idempotent request.
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
