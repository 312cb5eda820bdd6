"""One part of a call: what one service was asked and has answered."""

from dataclasses import dataclass, field

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.gateway.server_entry import ServerEntry


@dataclass(frozen=True, slots=True)
class PartAttempt:
    """Hold where and when an attempt was sent, in seconds of the monotonic clock."""

    entry: ServerEntry
    sent_at: float


@dataclass(slots=True)
class PartCall:
    """Hold the attempts at one service.

    `ran_on` counts the servers that have the request or may have run it. `hedge_at`
    is when an attempt under way counts as late, `retry_at` when a server is looked
    for again; both None where nothing waits for them. `why_not_again` tells why it was
    not sent again when it might have been.
    """

    service: str
    attempts: dict[int, PartAttempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    ran_on: int = 0
    sends: int = 0
    arrived: bool = False
    hedge_at: float | None = None
    retry_at: float | None = None
    why_not_again: RepeatRefusal | None = None
    answer: BackendAnswer | None = None
    failure: BackendAnswer | None = None

    @property
    def is_open(self) -> bool:
        """Whether an answer may still come."""
        return self.answer is None and (
            bool(self.attempts) or self.retry_at is not None
        )
