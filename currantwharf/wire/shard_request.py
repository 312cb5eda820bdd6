"""A request to one shard, sent between instances."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class ShardRequest:
    """A request to one backend server for one shard, sent to the server's owner.

    `query` and `attempt` identify the request among all that an instance has sent;
    an answer with any other pair is dropped. `budget_ms` is the remaining time in
    milliseconds: every hop subtracts the time that it has used. `fingerprint` is a
    digest of the request's class and body, so that equal bodies under different ids
    have equal fingerprints.
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
