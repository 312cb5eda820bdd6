"""The life of an instance, as a state machine.

An instance joins, is ready, may wake from a pause, stops and is gone. Only a ready
instance takes work; a stopping one still takes the work that the lagging balancer
sends it.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Phase(StrEnum):
    """The phases of an instance's life."""

    JOINING = "joining"
    READY = "ready"
    RELEARNING = "relearning"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass
class LifecycleRecord:
    """Hold the phase that the machine is in, for those who only look."""

    phase: Phase = Phase.JOINING


class Life(Protocol):
    """The inputs of the machine."""

    def caught_up(self) -> None:
        """Learn the present configuration and list from a peer or the platform."""

    def resumed(self) -> None:
        """Notice that the process was paused."""

    def stop(self) -> None:
        """Begin a graceful shutdown."""

    def drained(self) -> None:
        """Have nothing left to finish."""


_builder = TypeMachineBuilder(Life, LifecycleRecord)
_joining = _builder.state("joining")
_ready = _builder.state("ready")
_relearning = _builder.state("relearning")
_stopping = _builder.state("stopping")
_stopped = _builder.state("stopped")


@_joining.upon(Life.caught_up).to(_ready)
@_relearning.upon(Life.caught_up).to(_ready)
def _become_ready(life: Life, record: LifecycleRecord) -> None:
    record.phase = Phase.READY


@_ready.upon(Life.resumed).to(_relearning)
def _relearn(life: Life, record: LifecycleRecord) -> None:
    record.phase = Phase.RELEARNING


@_joining.upon(Life.stop).to(_stopping)
@_ready.upon(Life.stop).to(_stopping)
@_relearning.upon(Life.stop).to(_stopping)
def _begin_stop(life: Life, record: LifecycleRecord) -> None:
    record.phase = Phase.STOPPING


@_stopping.upon(Life.drained).to(_stopped)
def _end_stop(life: Life, record: LifecycleRecord) -> None:
    record.phase = Phase.STOPPED


_ready.upon(Life.caught_up).loop().returns(None)
_stopping.upon(Life.caught_up).loop().returns(None)
_joining.upon(Life.resumed).loop().returns(None)
_relearning.upon(Life.resumed).loop().returns(None)
_stopping.upon(Life.resumed).loop().returns(None)
_stopping.upon(Life.stop).loop().returns(None)

build_lifecycle = _builder.build()
