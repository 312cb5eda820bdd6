"""The answer of a backend server to one attempt."""

from dataclasses import dataclass
from enum import StrEnum

from currantwharf.http1 import Header


class Verdict(StrEnum):
    """Tell what an answer says of the request."""

    ANSWERED = "answered"  # it ran, with the server's own answer
    FAILED = "failed"  # it ran, and the server failed
    REJECTED = "rejected"  # the server did not run it
    MISDIRECTED = "misdirected"  # another server has the address; it did not run
    SPOILED = "spoiled"  # not a whole answer of the server; it may have run


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Hold an answer; `signature` is the server's proof that it is its own.

    `warm_up_s` tells how long the server says that it stays cold, in seconds.
    """

    verdict: Verdict
    status: int
    headers: tuple[Header, ...]
    body: bytes
    signature: bytes = b""
    warm_up_s: float = 0.0

    @property
    def is_success(self) -> bool:
        """Whether the server ran the request with success."""
        return self.verdict is Verdict.ANSWERED and 200 <= self.status < 300
