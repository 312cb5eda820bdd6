"""Metrics of a running instance."""

from currantwharf.metrics.class_histograms import ClassHistograms
from currantwharf.metrics.recorder import Recorder
from currantwharf.metrics.sink import MetricSink, NullSink, make_sink

__all__ = ["ClassHistograms", "MetricSink", "NullSink", "Recorder", "make_sink"]
