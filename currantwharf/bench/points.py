"""Points of a measurement, and the line through them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Series:
    """Hold what was measured at several sizes: `(size, value)` pairs."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Line:
    """Hold a least-squares line and its largest residual as a share of the values."""

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value that the line gives for `size`."""
        return self.intercept + self.slope * size


def fit(series: Series) -> Line:
    """Return the least-squares line through the points of a series.

    >>> fit(Series("x", "n", "ms", ((1, 3.0), (2, 5.0), (3, 7.0))))
    Line(slope=2.0, intercept=1.0, residual=0.0)
    """
    count = len(series.points)
    mean_x = sum(x for x, _ in series.points) / count
    mean_y = sum(y for _, y in series.points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in series.points)
    joint = sum((x - mean_x) * (y - mean_y) for x, y in series.points)
    slope = joint / spread
    intercept = mean_y - slope * mean_x
    largest = max(y for _, y in series.points)
    errors = [abs(y - intercept - slope * x) for x, y in series.points]
    return Line(slope, intercept, max(errors) / largest if largest else 0.0)
