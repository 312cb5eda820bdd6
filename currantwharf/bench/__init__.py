"""The measuring tool: open-loop load by an experiment file, tables and JSON."""

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
    "load_experiment",
    "summarize",
    "format_table",
]
