"""What the owner of a backend server decides: its limit, queue and condition."""

from currantwharf.owner.actions import Abort, Dispatch, GateAction, Refuse, WakeAt
from currantwharf.owner.call_result import (
    BackendAnswer,
    BackendItem,
    CallFailed,
    CallResult,
    ItemOutcome,
)
from currantwharf.owner.condition import Condition
from currantwharf.owner.limit import ServerLimit
from currantwharf.owner.server_gate import TAKEOVER_WAIT_S, ServerGate
from currantwharf.owner.shard_answers import answers_for, refusal

__all__ = [
    "TAKEOVER_WAIT_S",
    "Abort",
    "BackendAnswer",
    "BackendItem",
    "CallFailed",
    "CallResult",
    "Condition",
    "Dispatch",
    "GateAction",
    "ItemOutcome",
    "Refuse",
    "ServerGate",
    "ServerLimit",
    "WakeAt",
    "answers_for",
    "refusal",
]
