import unittest

from currantwharf.metrics import NullSink, Recorder
from currantwharf.metrics.recorder import MAX_CALLERS
from currantwharf.query import Coverage, QueryResult
from currantwharf.wire import Outcome, Reason


def make_result(caller: str, answered: int = 2) -> QueryResult:
    return QueryResult(
        "r1",
        "grain-lookup",
        caller,
        Outcome.ANSWERED,
        Reason.NONE,
        "index-1",
        Coverage(answered, 2),
        sends=2,
        extra_sends=1,
    )


class RecorderTests(unittest.TestCase):
    def setUp(self) -> None:
        self.recorder = Recorder(NullSink())

    def test_histograms_of_callers_are_bounded(self) -> None:
        for number in range(10 * MAX_CALLERS):
            self.recorder.record(make_result(f"caller-{number}"), 0.01)
        summary = self.recorder.summary()["classes"]["grain-lookup"]
        self.assertEqual(len(summary["callers"]), MAX_CALLERS + 1)
        self.assertEqual(summary["count"], 10 * MAX_CALLERS)

    def test_shares_are_means_of_recorded_results(self) -> None:
        self.recorder.record(make_result("a", 2), 0.01)
        self.recorder.record(make_result("a", 1), 0.01)
        summary = self.recorder.summary()["classes"]["grain-lookup"]
        self.assertEqual(summary["coverage_mean"], 0.75)
        self.assertEqual(summary["extra_load_mean"], 0.5)
        self.assertEqual(summary["whole_share"], 0.5)
