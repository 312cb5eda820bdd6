import unittest

from currantwharf.bench.load import PhaseResult
from currantwharf.bench.report import (
    format_comparison,
    format_histograms,
    format_table,
    summarize,
)
from currantwharf.metrics import ClassHistograms


def make_summary(latency_s: float) -> list:
    found = ClassHistograms()
    for _ in range(10):
        found.record(latency_s, 1.0, 0.0, True, "answered")
    found.record(3.0, 0.5, 0.0, False, "unknown")
    return summarize([PhaseResult("before", 1.0, 11, {"grain-lookup": found})])


class ReportTests(unittest.TestCase):
    def test_table_has_a_line_for_each_phase_and_class(self) -> None:
        text = format_table(make_summary(0.015))
        self.assertIn("before", text)
        self.assertIn("answered=10 unknown=1", text)

    def test_histogram_counts_every_request_once(self) -> None:
        summary = make_summary(0.015)
        buckets = summary[0]["classes"]["grain-lookup"]["latency_buckets"]
        self.assertEqual(sum(buckets), 11)
        self.assertEqual((buckets[2], buckets[-1]), (10, 1))
        self.assertIn("above 1000 ms", format_histograms(summary))

    def test_comparison_gives_ratios(self) -> None:
        text = format_comparison(make_summary(0.010), make_summary(0.020))
        self.assertRegex(text, r"2\.0")
