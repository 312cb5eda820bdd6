"""State machine for the condition of a backend server, as seen by its owner."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Condition(StrEnum):
    """The condition of a backend server."""

    USABLE = "usable"
    LOST = "lost"
    LEAVING = "leaving"


@dataclass
class ConditionRecord:
    """The current condition, and the time at which a lost server may be retried.

    `losses` counts consecutive losses, for the exponential delay of the retries.
    """

    condition: Condition = Condition.USABLE
    retry_at: float = 0.0
    losses: int = 0


class ConditionMachine(Protocol):
    """The inputs of the state machine."""

    def on_answer(self) -> None:
        """Handle any answer from the server."""

    def on_loss(self, now: float) -> None:
        """Handle a failure to reach the server."""

    def on_leaving(self) -> None:
        """Handle a sign that the server is leaving."""

    def on_return(self) -> None:
        """Handle a sign that the server is no longer leaving."""


FIRST_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 5.0

_builder = TypeMachineBuilder(ConditionMachine, ConditionRecord)
_usable = _builder.state("usable")
_lost = _builder.state("lost")
_leaving = _builder.state("leaving")


@_usable.upon(ConditionMachine.on_answer).loop()
@_lost.upon(ConditionMachine.on_answer).to(_usable)
@_leaving.upon(ConditionMachine.on_return).to(_usable)
def _set_usable(machine: ConditionMachine, record: ConditionRecord) -> None:
    record.condition = Condition.USABLE
    record.losses = 0


@_usable.upon(ConditionMachine.on_loss).to(_lost)
@_lost.upon(ConditionMachine.on_loss).loop()
def _set_lost(machine: ConditionMachine, record: ConditionRecord, now: float) -> None:
    record.condition = Condition.LOST
    delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2**record.losses)
    record.losses = min(record.losses + 1, 16)
    record.retry_at = now + delay_s


@_usable.upon(ConditionMachine.on_leaving).to(_leaving)
@_lost.upon(ConditionMachine.on_leaving).to(_leaving)
def _set_leaving(machine: ConditionMachine, record: ConditionRecord) -> None:
    record.condition = Condition.LEAVING


_leaving.upon(ConditionMachine.on_answer).loop().returns(None)
_leaving.upon(ConditionMachine.on_loss).loop().returns(None)
_leaving.upon(ConditionMachine.on_leaving).loop().returns(None)
_usable.upon(ConditionMachine.on_return).loop().returns(None)
_lost.upon(ConditionMachine.on_return).loop().returns(None)

build_condition_machine = _builder.build()
