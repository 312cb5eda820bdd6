"""Show the result of an experiment as a table and as JSON."""

from typing import Any

from currantwharf.bench.load import PhaseResult
from currantwharf.metrics.class_histograms import BUCKETS_MS

BAR_WIDTH = 14  # characters
HEADER = (
    f"{'phase':<22}{'class':<16}{'count':>6}{'p50':>8}{'p90':>8}{'p99':>8}"
    f"{'p99.9':>8}{'coverage':>10}{'whole':>8}  outcomes"
)


def summarize(results: list[PhaseResult]) -> list[dict[str, Any]]:
    """Return the results as plain data, latencies in milliseconds."""
    return [
        {
            "phase": result.name,
            "seconds": result.seconds,
            "sent": result.sent,
            "cost": result.cost,
            "classes": {
                name: format_histograms.summary()
                for name, format_histograms in result.classes.items()
            },
        }
        for result in results
    ]


def format_table(summary: list[dict[str, Any]]) -> str:
    """Return a table with a line for each phase and class; latencies are in ms."""
    lines = [HEADER]
    for phase in summary:
        for name, found in sorted(phase["classes"].items()):
            lines.append(_line(phase["phase"], name, found))
    lines.append("")
    lines.extend(_cost_line(phase) for phase in summary if phase["cost"])
    return "\n".join(lines)


def format_histograms(summary: list[dict[str, Any]]) -> str:
    """Return the latency histogram of each class, a column for each phase."""
    lines = []
    names = sorted({name for phase in summary for name in phase["classes"]})
    bounds = [f"to {bound} ms" for bound in BUCKETS_MS]
    bounds.append(f"above {BUCKETS_MS[-1]} ms")
    for name in names:
        phases = [phase for phase in summary if name in phase["classes"]]
        columns = [phase["classes"][name]["latency_buckets"] for phase in phases]
        heads = "".join(f"{phase['phase']:>22}" for phase in phases)
        lines.append(f"{name:<16}{heads}")
        for number, bound in enumerate(bounds):
            cells = [_bar(column[number], sum(column)) for column in columns]
            lines.append(f"{bound:<16}" + "".join(f"{cell:>22}" for cell in cells))
        lines.append("")
    return "\n".join(lines)


def _bar(count: int, total: int) -> str:
    width = round(BAR_WIDTH * count / total) if total else 0
    return f"{'#' * width} {count:>5}" if count else "."


def format_comparison(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> str:
    """Return a table of the ratios of two runs' latencies, phase by phase."""
    lines = [f"{'phase':<22}{'class':<16}{'p50':>16}{'p99':>16}{'p99.9':>16}"]
    for old, new in zip(before, after, strict=True):
        for name in sorted(old["classes"].keys() & new["classes"].keys()):
            cells = "".join(
                _ratio(old["classes"][name], new["classes"][name], quantile)
                for quantile in ("p50", "p99", "p99.9")
            )
            lines.append(f"{old['phase']:<22}{name:<16}{cells}")
    return "\n".join(lines)


def _line(phase: str, name: str, found: dict[str, Any]) -> str:
    latency = found["latency_ms"]
    outcomes = " ".join(f"{k}={v}" for k, v in sorted(found["outcomes"].items()))
    return (
        f"{phase:<22}{name:<16}{found['count']:>6}"
        f"{latency['p50']:>8.1f}{latency['p90']:>8.1f}{latency['p99']:>8.1f}"
        f"{latency['p99.9']:>8.1f}{found['coverage_mean'] or 0:>10.4f}"
        f"{found['whole_share'] or 0:>8.4f}  {outcomes}"
    )


def _cost_line(phase: dict[str, Any]) -> str:
    cost = phase["cost"]
    # The cost is that of the whole phase, with the time in which it settles.
    count = phase["sent"]
    each = cost["cpu_ms"] / count if count else 0.0
    runs = cost["backend_runs"] / count if count else 0.0
    return (
        f"{phase['phase']:<22}processor {each:.2f} ms a request, {runs:.2f} runs at "
        f"backend servers a request (peak {cost['backend_peak']}, cold peak "
        f"{cost['cold_peak']}), {cost['peer_calls']} peer calls with "
        f"{cost['peer_messages']} messages and {cost['peer_bytes']} bytes, "
        f"{cost['platform_calls']} platform calls, {cost['peak_mb']} MB"
    )


def _ratio(old: dict[str, Any], new: dict[str, Any], quantile: str) -> str:
    was, now = old["latency_ms"][quantile], new["latency_ms"][quantile]
    ratio = now / was if was else 0.0
    return f"{was:>6.1f}{now:>6.1f}{ratio:>4.2f}"
