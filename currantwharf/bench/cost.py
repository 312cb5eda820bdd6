"""What a phase cost the instances and the backend servers."""

from dataclasses import dataclass
from typing import Any

import msgspec
import treq
from twisted.internet.defer import ensureDeferred, gatherResults

from currantwharf.bench.experiment import Experiment


@dataclass(frozen=True, slots=True)
class Reading:
    """Hold the counters of the site at one time, summed over its instances."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0
    peer_calls: int = 0
    peer_messages: int = 0
    peer_bytes: int = 0
    platform_calls: int = 0
    backend_runs: int = 0
    backend_peak: int = 0
    cold_peak: int = 0


async def read_cost(experiment: Experiment, agent: Any) -> Reading:
    """Read the counters of all instances and stand-ins now."""
    asked = [
        ensureDeferred(_get(f"http://{address}/status", agent))
        for address in experiment.operators
    ]
    found = await gatherResults(asked)
    backends: dict[str, Any] = {}
    if experiment.control:
        backends = await _get(f"http://{experiment.control}/stats", agent)
    return Reading(
        cpu_s=sum(s["process"]["cpu_s"] for s in found),
        peak_mb=max((s["process"]["peak_mb"] for s in found), default=0.0),
        peer_calls=sum(s["post"]["calls"] for s in found),
        peer_messages=sum(s["post"]["messages"] for s in found),
        peer_bytes=sum(s["post"]["bytes"] for s in found),
        platform_calls=sum(s["platform"]["calls"] for s in found),
        backend_runs=sum(s["started"] for s in backends.values()),
        backend_peak=max((s["peak"] for s in backends.values()), default=0),
        cold_peak=max((s["cold_peak"] for s in backends.values()), default=0),
    )


def cost_between(before: Reading, after: Reading, seconds: float) -> dict[str, float]:
    """Return the cost of a phase; processor time is in ms, rates are a second's."""
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


async def _get(url: str, agent: Any) -> dict[str, Any]:
    response = await treq.get(url, agent=agent)
    found: dict[str, Any] = msgspec.json.decode(await treq.content(response))
    return found
