"""A caller's request, with its latency target and its deadline."""

from dataclasses import dataclass

from currantwharf.http1 import Header


@dataclass(frozen=True, slots=True)
class GatewayRequest:
    """A caller's request; times are readings of the monotonic clock in seconds.

    `deadline` is when the caller stops waiting. `target_at` is the latest time at
    which an answer can be sent and still meet the latency target of the request's
    class. `fingerprint` is a digest of the request's content, the same each time the
    request is made. `prior_sends` is the number of servers of each shard to which
    another instance may already have sent it.
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
