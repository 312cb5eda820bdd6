"""The result of a caller's request."""

from dataclasses import dataclass

from currantwharf.policy.coverage import Coverage
from currantwharf.wire import Hit, Outcome, Reason


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Hold what the caller is told.

    `sends` and `extra_sends` count the first sends and the hedges and retries that
    the request put on backend servers. `duplicate` marks the answer of an earlier
    run of the same id.
    """

    request_id: str
    class_name: str
    caller: str
    outcome: Outcome
    reason: Reason
    index_version: str
    coverage: Coverage
    hits: tuple[Hit, ...] = ()
    sends: int = 0
    extra_sends: int = 0
    restarts: int = 0
    duplicate: bool = False
