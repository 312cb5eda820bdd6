"""Data model of an experiment: the load, the phases and the events of each phase."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Gt


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The load of one request class, at `rate` requests per second.

    If the class is not idempotent, each request carries a unique id and the time at
    which it was issued.
    """

    class_name: str
    rate: Annotated[float, Gt(0)]
    deadline_ms: Annotated[float, Gt(0)] = 1000.0
    caller: str = "bench"
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class Event:
    """A POST of `body` to `url`, `at_s` seconds after the start of the phase."""

    url: str
    at_s: Annotated[float, Ge(0)] = 0.0
    body: str = ""


@dataclass(frozen=True, slots=True)
class Phase:
    """A measurement of `seconds`, after `settle_s` in which no answer is recorded."""

    name: str
    seconds: Annotated[float, Gt(0)]
    settle_s: Annotated[float, Ge(0)] = 0.0
    events: tuple[Event, ...] = ()


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment, as read from a YAML file.

    `instances` are the addresses for callers, used in turn. `seed` determines the send
    times of the requests, so that two runs offer the same load. `operators` are the
    operators' addresses of the same instances and `control` is the address of the
    stand-ins' control server. The cost of a phase is measured only for the instances
    and stand-ins whose addresses are given.
    """

    name: str
    instances: tuple[str, ...]
    loads: tuple[ClassLoad, ...]
    phases: tuple[Phase, ...]
    seed: int = 1
    operators: tuple[str, ...] = ()
    control: str = ""
