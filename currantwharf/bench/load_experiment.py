"""Loading of experiment files."""

from pathlib import Path

from result import Result

from currantwharf.bench.experiment import Experiment
from currantwharf.config import InvalidDocument, load_document


def load_experiment(path: Path) -> Result[Experiment, InvalidDocument]:
    """Read the YAML file at `path`; an error lists every problem found in it."""
    return load_document(Experiment, path)
