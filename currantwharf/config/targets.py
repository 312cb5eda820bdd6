"""The targets of a request class, the only parameters that operators tune."""

from dataclasses import dataclass
from typing import Annotated, Literal

from annotated_types import Gt, Interval


@dataclass(frozen=True, slots=True)
class Targets:
    """Targets for latency, coverage and extra load of the answers of a class.

    `percentile` percent of the answers take at most `latency_ms`. `coverage` is the
    minimum share of the pinned shards that an answer must cover, `whole_share` the
    share of answers that must be complete, and `extra_load` the maximum number of
    hedges and retries as a fraction of the first sends. `prefer` decides which target
    is given up when they can't all be met: with `latency`, an incomplete answer is
    sent in time for the latency target; with `coverage`, the answer waits for the
    missing shards until the caller's deadline.
    """

    latency_ms: Annotated[float, Gt(0)]
    percentile: Annotated[float, Interval(gt=0, lt=100)] = 99.0
    coverage: Annotated[float, Interval(ge=0, le=1)] = 1.0
    whole_share: Annotated[float, Interval(ge=0, le=1)] = 0.99
    extra_load: Annotated[float, Interval(ge=0, le=1)] = 0.05
    prefer: Literal["latency", "coverage"] = "latency"
