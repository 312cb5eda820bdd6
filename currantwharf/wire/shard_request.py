"""A request to one shard."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class ShardRequest:
    """Ask one backend server about one shard, through the server's owner.

    `query` and `attempt` identify the request among all that an instance has sent;
    an answer that carries any other pair is dropped. `budget_ms` is the time left in
    milliseconds: every hop takes off what it has used. `fingerprint` is a digest of
    what is asked, and equal for equal bodies under different ids.
    """

    query: str
    attempt: int
    class_name: str
    shard: str
    server: str
    index_version: str
    budget_ms: float
    idempotent: bool
    fingerprint: str
    body: msgspec.Raw
