"""Points of a measurement and the straight line fitted to them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Series:
    """A quantity measured at several sizes, as `(size, value)` pairs."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A least-squares line.

    `residual` is the largest absolute error as a fraction of the largest value.
    """

    slope: float
    intercept: float
    residual: float

    def predict(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.intercept + self.slope * size


def fit_line(series: Series) -> FittedLine:
    """Return the least-squares line through the points of a series.

    >>> fit_line(Series("x", "n", "ms", ((1, 3.0), (2, 5.0), (3, 7.0))))
    FittedLine(slope=2.0, intercept=1.0, residual=0.0)
    """
    count = len(series.points)
    mean_x = sum(x for x, _ in series.points) / count
    mean_y = sum(y for _, y in series.points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in series.points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in series.points)
    slope = sum_xy / sum_xx
    intercept = mean_y - slope * mean_x
    max_value = max(y for _, y in series.points)
    errors = [abs(y - intercept - slope * x) for x, y in series.points]
    return FittedLine(slope, intercept, max(errors) / max_value if max_value else 0.0)
