"""Read an experiment file."""

from pathlib import Path

import yaml
from result import Err, Result

from currantwharf.bench.experiment import Experiment
from currantwharf.config import InvalidDocument, Problem, parse_document


def load_experiment(path: Path) -> Result[Experiment, InvalidDocument]:
    """Read the YAML file at `path` and check it whole."""
    try:
        value = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, yaml.YAMLError) as exc:
        problem = Problem("(the file)", str(exc), "a readable YAML file")
        return Err(InvalidDocument(str(path), (problem,)))
    return parse_document(Experiment, value, str(path))
