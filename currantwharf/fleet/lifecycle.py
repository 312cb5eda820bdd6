"""State machine for the lifecycle of an instance.

An instance joins, becomes ready, may relearn its state after a pause, stops and is
stopped. A ready instance accepts new work. So does a stopping one, because the load
balancer still sends requests until it notices the shutdown.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Phase(StrEnum):
    """The phase of an instance."""

    JOINING = "joining"
    READY = "ready"
    RELEARNING = "relearning"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass
class LifecycleRecord:
    """The current phase, as read by other components."""

    phase: Phase = Phase.JOINING


class Lifecycle(Protocol):
    """The inputs of the state machine."""

    def on_caught_up(self) -> None:
        """Handle receipt of the current configuration and instance list."""

    def on_resumed(self) -> None:
        """Handle the end of a pause of the process."""

    def stop(self) -> None:
        """Begin a graceful shutdown."""

    def on_drained(self) -> None:
        """Handle completion of all work in progress."""


_builder = TypeMachineBuilder(Lifecycle, LifecycleRecord)
_joining = _builder.state("joining")
_ready = _builder.state("ready")
_relearning = _builder.state("relearning")
_stopping = _builder.state("stopping")
_stopped = _builder.state("stopped")


@_joining.upon(Lifecycle.on_caught_up).to(_ready)
@_relearning.upon(Lifecycle.on_caught_up).to(_ready)
def _set_ready(lifecycle: Lifecycle, record: LifecycleRecord) -> None:
    record.phase = Phase.READY


@_ready.upon(Lifecycle.on_resumed).to(_relearning)
def _set_relearning(lifecycle: Lifecycle, record: LifecycleRecord) -> None:
    record.phase = Phase.RELEARNING


@_joining.upon(Lifecycle.stop).to(_stopping)
@_ready.upon(Lifecycle.stop).to(_stopping)
@_relearning.upon(Lifecycle.stop).to(_stopping)
def _set_stopping(lifecycle: Lifecycle, record: LifecycleRecord) -> None:
    record.phase = Phase.STOPPING


@_stopping.upon(Lifecycle.on_drained).to(_stopped)
def _set_stopped(lifecycle: Lifecycle, record: LifecycleRecord) -> None:
    record.phase = Phase.STOPPED


_ready.upon(Lifecycle.on_caught_up).loop().returns(None)
_stopping.upon(Lifecycle.on_caught_up).loop().returns(None)
_joining.upon(Lifecycle.on_resumed).loop().returns(None)
_relearning.upon(Lifecycle.on_resumed).loop().returns(None)
_stopping.upon(Lifecycle.on_resumed).loop().returns(None)
_stopping.upon(Lifecycle.stop).loop().returns(None)

build_lifecycle = _builder.build()
