"""The scheduler action for a silent connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Abandon:
    """Abandon a call whose connection is silent, and close the connection."""

    call: int
