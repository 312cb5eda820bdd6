"""The answer of a backend server to one attempt."""

from dataclasses import dataclass
from enum import StrEnum

from currantwharf.http1 import Header


class Verdict(StrEnum):
    """What an answer proves about the execution of its request."""

    ANSWERED = "answered"  # it ran, with the server's own answer
    FAILED = "failed"  # it ran, and the server failed
    REJECTED = "rejected"  # the server did not run it
    MISDIRECTED = "misdirected"  # another server has the address; it did not run
    SPOILED = "spoiled"  # not an intact answer of the server; it may have run


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """An answer, with the server's proof in `signature` that the answer is its own.

    `warm_up_s` is how long the server says that it will stay cold, in seconds, and
    `limit_per_s` the limit that it names on the requests of all instances together, in
    requests per second; None if it names none. `is_leaving` is true if the server says
    that it leaves. `wants_nothing_s` is for how many seconds a server that rejects the
    request wants nothing more from this instance.
    """

    verdict: Verdict
    status: int
    headers: tuple[Header, ...]
    body: bytes
    signature: bytes = b""
    warm_up_s: float = 0.0
    limit_per_s: float | None = None
    is_leaving: bool = False
    wants_nothing_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether the server ran the request successfully."""
        return self.verdict is Verdict.ANSWERED and 200 <= self.status < 300
