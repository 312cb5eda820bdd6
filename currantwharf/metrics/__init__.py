"""What is measured of a running instance."""

from currantwharf.metrics.class_histograms import ClassHistograms
from currantwharf.metrics.recorder import Recorder
from currantwharf.metrics.sink import MetricSink, NoSink, make_sink

__all__ = ["ClassHistograms", "MetricSink", "NoSink", "Recorder", "make_sink"]
