"""One hit of a search."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hit:
    """A matching document, its score (higher is better) and a line of text."""

    document: str
    score: float
    text: str = ""
