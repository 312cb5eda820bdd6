"""The error for a document that does not match its schema."""

from dataclasses import dataclass

from currantwharf.documents.problem import Problem


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """All problems of one document, so that they can be fixed in one pass."""

    source: str
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {problem}" for problem in self.problems)
