import unittest
from pathlib import Path

import msgspec

from currantwharf.bench.capacity import render
from currantwharf.bench.points import Series, fit

DOCS = Path(__file__).parents[3] / "docs"


class CapacityPageTests(unittest.TestCase):
    def test_page_holds_what_the_points_give(self) -> None:
        raw = (DOCS / "capacity" / "points.json").read_bytes()
        series = msgspec.json.decode(raw, type=list[Series])
        page = (DOCS / "CAPACITY.md").read_text()
        self.assertIn(render(series), page)

    def test_every_series_has_three_points_or_more(self) -> None:
        raw = (DOCS / "capacity" / "points.json").read_bytes()
        for one in msgspec.json.decode(raw, type=list[Series]):
            self.assertGreaterEqual(len(one.points), 3, one.name)

    def test_line_through_a_line_has_no_residual(self) -> None:
        line = fit(Series("x", "n", "ms", ((1, 5.0), (3, 9.0), (10, 23.0))))
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.residual, 0.0)
