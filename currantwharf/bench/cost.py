"""The cost of a phase to the instances and the backend servers."""

from dataclasses import dataclass
from typing import Any

import msgspec
import treq
from twisted.internet.defer import ensureDeferred, gatherResults

from currantwharf.bench.experiment import Experiment


@dataclass(frozen=True, slots=True)
class SiteCounters:
    """The counters of a site at one time.

    Most are summed over the instances or backend servers; `peak_mb`, `backend_peak`
    and `cold_peak` are the largest of any one.
    """

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    peer_calls: int = 0
    peer_messages: int = 0
    peer_bytes: int = 0
    platform_calls: int = 0
    backend_runs: int = 0
    backend_peak: int = 0
    cold_peak: int = 0


async def read_counters(experiment: Experiment, agent: Any) -> SiteCounters:
    """Fetch the current counters of all instances and stand-ins."""
    pending = [
        ensureDeferred(_get_json(f"http://{address}/status", agent))
        for address in experiment.operators
    ]
    statuses = await gatherResults(pending)
    backends: dict[str, Any] = {}
    if experiment.control:
        backends = await _get_json(f"http://{experiment.control}/stats", agent)
    return SiteCounters(
        cpu_s=sum(s["process"]["cpu_s"] for s in statuses),
        peak_mb=max((s["process"]["peak_mb"] for s in statuses), default=0.0),
        peer_calls=sum(s["post"]["calls"] for s in statuses),
        peer_messages=sum(s["post"]["messages"] for s in statuses),
        peer_bytes=sum(s["post"]["bytes"] for s in statuses),
        platform_calls=sum(s["platform"]["calls"] for s in statuses),
        backend_runs=sum(s["started"] for s in backends.values()),
        backend_peak=max((s["peak"] for s in backends.values()), default=0),
        cold_peak=max((s["cold_peak"] for s in backends.values()), default=0),
    )


def compute_cost(
    before: SiteCounters, after: SiteCounters, seconds: float
) -> dict[str, float]:
    """Return the cost of a phase of `seconds`.

    Counters are differences over the phase, with processor time in milliseconds. Peaks
    are the highest values since the processes started.
    """
    return {
        "seconds": round(seconds, 3),
        "cpu_ms": round(1000 * (after.cpu_s - before.cpu_s), 1),
        "peak_mb": round(after.peak_mb, 1),
        "peer_calls": after.peer_calls - before.peer_calls,
        "peer_messages": after.peer_messages - before.peer_messages,
        "peer_bytes": after.peer_bytes - before.peer_bytes,
        "platform_calls": after.platform_calls - before.platform_calls,
        "backend_runs": after.backend_runs - before.backend_runs,
        "backend_peak": after.backend_peak,
        "cold_peak": after.cold_peak,
    }


async def _get_json(url: str, agent: Any) -> dict[str, Any]:
    response = await treq.get(url, agent=agent)
    document: dict[str, Any] = msgspec.json.decode(await treq.content(response))
    return document
