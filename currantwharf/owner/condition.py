"""The condition of a backend server as its owner sees it, as a state machine."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder


class Condition(StrEnum):
    """The conditions of a backend server."""

    USABLE = "usable"
    LOST = "lost"
    LEAVING = "leaving"


@dataclass
class ConditionRecord:
    """Hold the condition and when a lost server may be tried again."""

    condition: Condition = Condition.USABLE
    retry_at: float = 0.0
    losses: int = 0


class ServerWatch(Protocol):
    """The inputs of the machine."""

    def answered(self) -> None:
        """Hear an answer of any kind from the server."""

    def lost(self, now: float) -> None:
        """Fail to reach the server."""

    def leaves(self) -> None:
        """Learn that the server is leaving."""

    def returns(self) -> None:
        """Learn that the server is no longer leaving."""


FIRST_RETRY_S = 0.25  # seconds
LONGEST_RETRY_S = 5.0  # seconds

_builder = TypeMachineBuilder(ServerWatch, ConditionRecord)
_usable = _builder.state("usable")
_lost = _builder.state("lost")
_leaving = _builder.state("leaving")


@_usable.upon(ServerWatch.answered).loop()
@_lost.upon(ServerWatch.answered).to(_usable)
@_leaving.upon(ServerWatch.returns).to(_usable)
def _be_usable(watch: ServerWatch, record: ConditionRecord) -> None:
    record.condition = Condition.USABLE
    record.losses = 0


@_usable.upon(ServerWatch.lost).to(_lost)
@_lost.upon(ServerWatch.lost).loop()
def _be_lost(watch: ServerWatch, record: ConditionRecord, now: float) -> None:
    record.condition = Condition.LOST
    wait = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2**record.losses)
    record.losses = min(record.losses + 1, 16)
    record.retry_at = now + wait


@_usable.upon(ServerWatch.leaves).to(_leaving)
@_lost.upon(ServerWatch.leaves).to(_leaving)
def _be_leaving(watch: ServerWatch, record: ConditionRecord) -> None:
    record.condition = Condition.LEAVING


_leaving.upon(ServerWatch.answered).loop().returns(None)
_leaving.upon(ServerWatch.lost).loop().returns(None)
_leaving.upon(ServerWatch.leaves).loop().returns(None)
_usable.upon(ServerWatch.returns).loop().returns(None)
_lost.upon(ServerWatch.returns).loop().returns(None)

new_server_watch = _builder.build()
