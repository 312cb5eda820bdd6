"""One problem found in a settings file or a published configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem: the path of the key, the value found there, and what is allowed.

    >>> str(Problem("servers.s1.slots", "0", "an integer of at least 1"))
    'servers.s1.slots: found 0; allowed: an integer of at least 1'
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found}; allowed: {self.allowed}"
