"""Request handling in an entry instance: routing, hedging, retries and merging."""

from currantwharf.policy.coverage import Coverage
from currantwharf.policy.extra_budget import ExtraBudget
from currantwharf.query.actions import Finish, QueryAction, SendToHolder, SendToOwner
from currantwharf.query.caller_request import CallerRequest
from currantwharf.query.class_controller import ClassController, QueryPolicy
from currantwharf.query.delivery_failed import DeliveryFailed
from currantwharf.query.merge import merge_hits
from currantwharf.query.pinned_snapshot import PinnedSnapshot, pin_snapshot
from currantwharf.query.query_result import QueryResult
from currantwharf.query.replica_stats import ReplicaStats
from currantwharf.query.router import Route, Router
from currantwharf.query.running_query import RunningQuery

__all__ = [
    "CallerRequest",
    "ClassController",
    "Coverage",
    "DeliveryFailed",
    "ExtraBudget",
    "Finish",
    "PinnedSnapshot",
    "QueryAction",
    "QueryPolicy",
    "QueryResult",
    "ReplicaStats",
    "Route",
    "Router",
    "RunningQuery",
    "SendToHolder",
    "SendToOwner",
    "merge_hits",
    "pin_snapshot",
]
