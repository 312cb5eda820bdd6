"""Load measurement: open-loop load from an experiment file, as tables and JSON."""

from currantwharf.bench.experiment import ClassLoad, Event, Experiment, Phase
from currantwharf.bench.load import LoadGenerator, PhaseResult
from currantwharf.bench.load_experiment import load_experiment
from currantwharf.bench.report import (
    format_comparison,
    format_histograms,
    format_table,
    summarize,
)

__all__ = [
    "ClassLoad",
    "Event",
    "Experiment",
    "LoadGenerator",
    "Phase",
    "PhaseResult",
    "format_comparison",
    "format_histograms",
    "format_table",
    "load_experiment",
    "summarize",
]
