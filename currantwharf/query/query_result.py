"""The result of a caller's request."""

from dataclasses import dataclass

from currantwharf.policy.coverage import Coverage
from currantwharf.wire import Hit, Outcome, Reason


@dataclass(frozen=True, slots=True)
class QueryResult:
    """The outcome of a request, as it is returned to the caller.

    `sends` counts the first sends to backend servers, `extra_sends` the hedges and
    retries. `duplicate` marks the answer of an earlier run of the same request id.
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
