import unittest
from pathlib import Path

import msgspec

from currantwharf.bench.capacity import render_tables
from currantwharf.bench.points import Series, fit_line

DOCS = Path(__file__).parents[3] / "docs"


class CapacityPageTests(unittest.TestCase):
    def test_page_contains_tables_of_stored_points(self) -> None:
        raw = (DOCS / "capacity" / "points.json").read_bytes()
        series = msgspec.json.decode(raw, type=list[Series])
        page = (DOCS / "CAPACITY.md").read_text()
        self.assertIn(render_tables(series), page)

    def test_every_series_has_at_least_three_points(self) -> None:
        raw = (DOCS / "capacity" / "points.json").read_bytes()
        for series in msgspec.json.decode(raw, type=list[Series]):
            self.assertGreaterEqual(len(series.points), 3, series.name)

    def test_fit_of_collinear_points_has_no_residual(self) -> None:
        line = fit_line(Series("x", "n", "ms", ((1, 5.0), (3, 9.0), (10, 23.0))))
        self.assertAlmostEqual(line.slope, 2.0)
        self.assertAlmostEqual(line.residual, 0.0)
