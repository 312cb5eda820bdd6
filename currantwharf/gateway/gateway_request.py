"""One request of a caller, with the times that bound it."""

from dataclasses import dataclass

from currantwharf.http1 import Header


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """Hold a request; the times are readings of the monotonic clock in seconds.

    `deadline` is when the caller stops to wait, `target_at` when an answer leaves
    that still arrives within the target of its class. `fingerprint` is a digest of
    what is asked, the same whenever it is asked again. `prior_sends` is the number of
    servers of each shard that another instance may have sent it to.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    fingerprint: str
    arrived_at: float
    deadline: float
    target_at: float
    prior_sends: int = 0
