"""What a server gate asks for a silent connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Abandon:
    """Give up a call whose connection has gone silent, and close the connection."""

    call: int
