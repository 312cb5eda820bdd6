"""Read an experiment file."""

from pathlib import Path

from result import Result

from currantwharf.bench.experiment import Experiment
from currantwharf.config import InvalidDocument, load_document


def load_experiment(path: Path) -> Result[Experiment, InvalidDocument]:
    """Read the YAML file at `path`; the result is the experiment or every problem."""
    return load_document(Experiment, path)
