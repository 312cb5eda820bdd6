"""Scheduling of requests by the owner of a backend server."""

from currantwharf.owner.actions import (
    Abandon,
    Abort,
    Dispatch,
    Refuse,
    SchedulerAction,
    WakeAt,
)
from currantwharf.owner.call_result import (
    BackendAnswer,
    BackendItem,
    CallFailed,
    CallResult,
    ItemOutcome,
)
from currantwharf.owner.condition import Condition
from currantwharf.owner.crash_key import build_crash_key
from currantwharf.owner.limit import ServerLimit
from currantwharf.owner.server_scheduler import (
    SILENT_TAKEOVER_WAIT_S,
    TAKEOVER_WAIT_S,
    ServerScheduler,
)
from currantwharf.owner.shard_answers import build_answers, build_failure, build_refusal
from currantwharf.policy.crash_table import CrashTable, extract_fingerprint

__all__ = [
    "SILENT_TAKEOVER_WAIT_S",
    "TAKEOVER_WAIT_S",
    "Abandon",
    "Abort",
    "BackendAnswer",
    "BackendItem",
    "CallFailed",
    "CallResult",
    "Condition",
    "CrashTable",
    "Dispatch",
    "SchedulerAction",
    "ItemOutcome",
    "Refuse",
    "ServerScheduler",
    "ServerLimit",
    "WakeAt",
    "build_answers",
    "build_crash_key",
    "extract_fingerprint",
    "build_refusal",
    "build_failure",
]
