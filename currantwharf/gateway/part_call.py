"""One part of a call: the attempts at one service and its answer."""

from dataclasses import dataclass, field

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.gateway.ineligibility import Ineligibility
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.gateway.server_entry import ServerEntry


@dataclass(frozen=True, slots=True)
class PartAttempt:
    """An attempt's server and the time when it was placed there, in seconds.

    `counted` are the server's rates that have counted it.
    """

    entry: ServerEntry
    sent_at: float
    counted: frozenset[Ineligibility] = frozenset()


@dataclass(slots=True)
class PartCall:
    """The state of the attempts at one service.

    `attempts` are those in flight, by number. `possible_runs` counts the servers that
    have the request or may have run it. `is_repeat` is true if the next send counts as
    a repeat, because the request may have reached a server already. `hedge_at` is
    when the attempt in flight is due to be hedged, `retry_at` when to look for a
    server again, and `connect_check_at` when to give up an attempt that has not
    found a connection; they are None if not scheduled. `repeat_refusal` is the latest
    reason why the part was not sent again. `failed_answer` is the latest answer of a
    server that ran the request and failed.
    """

    service: str
    attempts: dict[int, PartAttempt] = field(default_factory=dict)
    tried_servers: set[str] = field(default_factory=set)
    possible_runs: int = 0
    sends: int = 0
    is_repeat: bool = False
    hedge_at: float | None = None
    retry_at: float | None = None
    connect_check_at: float | None = None
    repeat_refusal: RepeatRefusal | None = None
    answer: BackendAnswer | None = None
    failed_answer: BackendAnswer | None = None

    @property
    def is_pending(self) -> bool:
        """Whether an answer may still arrive."""
        return self.answer is None and (
            bool(self.attempts) or self.retry_at is not None
        )
