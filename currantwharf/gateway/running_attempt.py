"""An attempt of a running call that has no result yet."""

from dataclasses import dataclass

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import ConnectionPool, Exchange


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An exchange with a server, and the pool that holds it.

    The pool may be one of a server that is gone, which `ServerPools` no longer knows.
    """

    entry: ServerEntry
    exchange: Exchange
    pool: ConnectionPool
