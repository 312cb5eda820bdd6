"""The error for a document that does not fit its schema."""

from dataclasses import dataclass

from currantwharf.documents.problem import Problem


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """Collect every problem of one document, so that all can be mended at once."""

    source: str
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {problem}" for problem in self.problems)
