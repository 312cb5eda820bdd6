"""An experiment: what load to offer, for how long, and what to do to the site."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Gt


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Offer requests of one class at `rate` a second.

    A class that is not idempotent gets an id of its own and the time of its first
    send with each request.
    """

    class_name: str
    rate: Annotated[float, Gt(0)]
    deadline_ms: Annotated[float, Gt(0)] = 1000.0
    caller: str = "bench"
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Event:
    """Post `body` to `url` when `at_s` seconds of the phase have passed."""

    url: str
    at_s: Annotated[float, Ge(0)] = 0.0
    body: str = ""


@dataclass(frozen=True, slots=True)
class Phase:
    """Measure for `seconds` after `settle_s`, in which nothing is counted."""

    name: str
    seconds: Annotated[float, Gt(0)]
    settle_s: Annotated[float, Ge(0)] = 0.0
    events: tuple[Event, ...] = ()


@dataclass(frozen=True, slots=True)
class Experiment:
    """Hold one experiment, as a YAML file gives it.

    `instances` are the callers' addresses, used in turn. `seed` sets the times of
    the requests, so that two runs offer the same load. `operators` are the operators'
    addresses of the same instances and `control` that of the stand-ins; where they
    are given, the cost of each phase is measured too.
    """

    name: str
    instances: tuple[str, ...]
    loads: tuple[ClassLoad, ...]
    phases: tuple[Phase, ...]
    seed: int = 1
    operators: tuple[str, ...] = ()
    control: str = ""
