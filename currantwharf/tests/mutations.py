"""Mutations of the code, one for each invariant, that the fuzz test must detect.

Each mutation patches one decision in the running program; no source file changes.
docs/fuzzing.md lists how many examples it took to detect each.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from currantwharf import owner
from currantwharf.node import graceful_stop
from currantwharf.node.instance import Instance
from currantwharf.once.claim_table import ClaimTable
from currantwharf.once.running_order import RunningOrder
from currantwharf.owner import ServerScheduler
from currantwharf.policy.coverage import Coverage
from currantwharf.query.router import Router
from currantwharf.query.running_query import RunningQuery
from currantwharf.wire import ClaimReply, Outcome


def _restart_keeping_hits(query: RunningQuery, now: float) -> list[Any]:
    kept_hits = {
        name: s.hits for name, s in query._shards.items() if s.hits is not None
    }
    actions = _restart(query, now)
    for name, hits in kept_hits.items():
        query._shards[name].hits = hits
        query._answered += 1
    return actions


def _grant_claim(
    table: ClaimTable, claim: Any, sees_majority: bool, wall: float
) -> Any:
    return ClaimReply(claim.request_id, claim.token, table.instance, True)


def _refuse_as_not_run(order: RunningOrder, reason: Any) -> list[Any]:
    return order._send_claim_result(ran=False) + order._finish(Outcome.NOT_RUN, reason)


def _build_answers_by_position(requests: Any, result: Any, queue: int) -> Any:
    if hasattr(result, "items"):
        pairs = zip(requests, result.items, strict=False)
        items = tuple(
            replace(item, query=request.query, attempt=request.attempt)
            for request, item in pairs
        )
        result = replace(result, items=items)
    return _build_answers(requests, result, queue)


_restart = RunningQuery._restart
_build_answers = owner.build_answers

MUTATIONS: dict[str, Callable[[], Any]] = {
    "one snapshot: a restart keeps the old hits": lambda: patch.object(
        RunningQuery, "_restart", _restart_keeping_hits
    ),
    "true coverage: every shard counts as answered": lambda: patch.object(
        RunningQuery,
        "_coverage",
        lambda query: Coverage(len(query._shards), len(query._shards)),
    ),
    "cold server: all slots are used from the start": lambda: patch.object(
        ServerScheduler, "_max_in_flight", lambda scheduler, now: scheduler.limit.slots
    ),
    "data centre out: routing ignores it": lambda: patch.object(
        Router, "can_receive_work", lambda router, server, config: True
    ),
    "own answer: items count by place, not by id": lambda: patch(
        "currantwharf.node.owner_task.build_answers", _build_answers_by_position
    ),
    "not run: every refusal says so": lambda: patch.object(
        RunningOrder, "_refuse", _refuse_as_not_run
    ),
    "at most once: every claim is granted": lambda: patch.object(
        ClaimTable, "claim", _grant_claim
    ),
    "leaving server: the list is ignored": lambda: patch.object(
        Instance, "_is_listed_as_leaving", lambda instance, server: False
    ),
    "graceful stop: drained at once": lambda: patch.multiple(
        graceful_stop,
        BALANCER_LAG_S=-1.0,
        MIN_QUIET_S=-1.0,
        _is_drained=lambda instance: True,
    ),
    "configuration: any other version replaces": lambda: patch(
        "currantwharf.node.fleet_task.is_newer",
        lambda version, held: held is None or version not in (0, held.version),
    ),
}
