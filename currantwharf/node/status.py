"""The state of an instance, as the `status` command shows it."""

import resource

from currantwharf import __version__
from currantwharf.node.instance import Instance


def describe_instance(instance: Instance) -> dict[str, object]:
    """Return the state of an instance as plain data for JSON."""
    fleet = instance.fleet
    config = fleet.config
    return {
        "instance": instance.settings.instance,
        "boot_id": instance.boot_id,
        "version": __version__,
        "data_centre": instance.settings.data_centre,
        "phase": fleet.lifecycle.phase,
        "process": describe_process(),
        "config": {
            "version": config.version if config else 0,
            "index_version": config.config.index_version if config else None,
            "in_force_since": fleet.config_adopted_at,
            "refused": fleet.config_refusal,
        },
        "platform": {
            "calls": fleet.reader.calls,
            "failures": fleet.reader.failures,
            "list_revision": fleet.membership.instance_list.revision,
        },
        "members": {
            name: {"state": member.state, "ready": member.ready}
            for name, member in fleet.membership.members.items()
        },
        "sees_majority": fleet.owners.sees_majority(),
        "requests_running": instance.entry.running_count,
        "claims_held": len(instance.claims),
        "post": {
            "calls": instance.messenger.calls_made,
            "messages": instance.messenger.messages_sent,
            "bytes": instance.messenger.bytes_sent,
        },
        "held_requests": instance.owner.crashes.list_held_keys(instance.clock.now()),
        "owned_servers": _describe_servers(instance),
        "classes": _describe_classes(instance),
    }


def describe_process() -> dict[str, float]:
    """Return the CPU time in seconds and the peak memory in MB of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": used.ru_utime + used.ru_stime,
        "peak_mb": used.ru_maxrss / 1024,
    }


def _describe_servers(instance: Instance) -> dict[str, object]:
    return {
        name: {
            "condition": owned.scheduler.condition_record.condition,
            "limit": round(owned.scheduler.limit.value, 2),
            "slots": owned.declared.slots,
            "in_flight": len(owned.scheduler.in_flight),
            "queue": owned.scheduler.queue_length,
            "usual_ms": round(owned.scheduler.limit.usual_ms, 2),
        }
        for name, owned in instance.owner.owned_servers().items()
    }


def _describe_classes(instance: Instance) -> dict[str, object]:
    now = instance.clock.now()
    described: dict[str, object] = {}
    for name, controller in instance.entry.get_controllers().items():
        policy = controller.get_policy(now)
        answer_after = policy.answer_after_s
        described[name] = {
            "hedge_after_ms": round(policy.hedge_after_s * 1000, 2),
            "answer_after_ms": answer_after and round(answer_after * 1000, 2),
            "extra_load_spent": round(controller.budget.spent_share(now), 4),
            "gives_way": _name_secondary_goal(controller.targets.prefer),
        }
    return described


def _name_secondary_goal(prefer: str) -> str:
    return "coverage" if prefer == "latency" else "latency"
