"""Builders of test data."""

from typing import Any

import msgspec

from currantwharf.config import PublishedConfig, VersionedConfig
from currantwharf.demo.site_plan import SitePlan, build_config, encode
from currantwharf.query import CallerRequest
from currantwharf.settings import Settings
from currantwharf.wire import (
    Ack,
    Hit,
    MemberUpdate,
    Outcome,
    Reason,
    ShardAnswer,
    ShardRequest,
)

CENTRES = ("taipei", "taichung", "kaohsiung")


def make_plan(instances: int = 3, shards: int = 1, slots: int = 2) -> SitePlan:
    return SitePlan(
        CENTRES,
        ("camphor", "longan"),
        ("ledger",),
        shards=shards,
        slots=slots,
        instances=instances,
    )


def make_config(plan: SitePlan | None = None) -> PublishedConfig:
    return build_config(plan or make_plan())


def make_versioned_config(
    version: int = 1, plan: SitePlan | None = None
) -> VersionedConfig:
    config = make_config(plan)
    return VersionedConfig(version, config, encode(config))


def make_settings(name: str = "i0", data_centre: str = "taipei") -> Settings:
    return Settings(name, data_centre, "127.0.0.1", 0, 0, 0, "127.0.0.1:1")


def make_body(number: int = 1, class_name: str = "grain-lookup") -> dict[str, Any]:
    return {
        "id": f"request-{number}",
        "class": class_name,
        "deadline_ms": 1000,
        "body": {"text": f"text-{number}"},
    }


def make_order(number: int, issued_at: float, resend: bool = False) -> dict[str, Any]:
    order = make_body(number, "block-order")
    order["issued_at"] = issued_at
    order["resend"] = resend
    order["body"] = {"id": order["id"]}
    return order


def make_caller_request(
    deadline: float = 1.0, class_name: str = "grain-lookup", resend: bool = False
) -> CallerRequest:
    body = msgspec.Raw(b'{"text":"longan"}')
    return CallerRequest(
        "r1", class_name, "caller", deadline, 0.0, resend, "r1", "print", body
    )


def make_shard_request(
    query: str = "q1",
    attempt: int = 1,
    budget_ms: float = 1000.0,
    idempotent: bool = True,
) -> ShardRequest:
    return ShardRequest(
        query,
        attempt,
        "grain-lookup",
        "camphor/0",
        "camphor-0-0",
        "index-1",
        budget_ms,
        idempotent,
        "print",
        msgspec.Raw(b"{}"),
    )


def make_answer(
    request: ShardRequest,
    outcome: Outcome = Outcome.ANSWERED,
    reason: Reason = Reason.NONE,
    **changes: Any,
) -> ShardAnswer:
    fields: dict[str, Any] = {
        "query": request.query,
        "attempt": request.attempt,
        "shard": request.shard,
        "server": request.server,
        "index_version": request.index_version,
        "outcome": outcome,
        "reason": reason,
        "hits": (Hit(request.shard, 1.0),),
    }
    fields.update(changes)
    return ShardAnswer(**fields)


def make_ack(
    instance: str = "i1",
    boot_id: str = "b1",
    ready: bool = True,
    stopping: bool = False,
    incarnation: int = 0,
) -> Ack:
    return Ack(instance, boot_id, incarnation, ready, stopping, 1, 1)


def make_member_update(instance: str, state: str, incarnation: int = 0) -> MemberUpdate:
    return MemberUpdate(instance, "b1", incarnation, state, True, False)
