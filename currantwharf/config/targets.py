"""The targets of a class: the only knobs that an operator has."""

from dataclasses import dataclass
from typing import Annotated, Literal

from annotated_types import Gt, Interval


@dataclass(frozen=True, slots=True)
class Targets:
    """Say how late, how complete and how costly the answers of a class may be.

    `latency_ms` holds for `percentile` in 100 answers. `coverage` is the least
    share of the pinned shards that an answer may report, `whole_share` the share of
    answers that have to be whole, and `extra_load` the hedges and retries allowed as
    a fraction of the first sends. `prefer` decides which target gives way when they
    can't all be met: with `latency` an answer goes out incomplete at its time, with
    `coverage` it waits for the missing shards until the caller's deadline.
    """

    latency_ms: Annotated[float, Gt(0)]
    percentile: Annotated[float, Interval(gt=0, lt=100)] = 99.0
    coverage: Annotated[float, Interval(ge=0, le=1)] = 1.0
    whole_share: Annotated[float, Interval(ge=0, le=1)] = 0.99
    extra_load: Annotated[float, Interval(ge=0, le=1)] = 0.05
    prefer: Literal["latency", "coverage"] = "latency"
