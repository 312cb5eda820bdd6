"""Formatting of the results of an experiment as text and as JSON-ready data."""

from typing import Any

from currantwharf.bench.load import PhaseResult
from currantwharf.metrics.class_histograms import BUCKETS_MS

MAX_BAR_CHARS = 14
HEADER = (
    f"{'phase':<22}{'class':<16}{'count':>6}{'p50':>8}{'p90':>8}{'p99':>8}"
    f"{'p99.9':>8}{'coverage':>10}{'whole':>8}  outcomes"
)


def summarize(results: list[PhaseResult]) -> list[dict[str, Any]]:
    """Return the results as plain data for JSON, with latencies in milliseconds."""
    return [
        {
            "phase": result.name,
            "seconds": result.seconds,
            "sent": result.sent,
            "cost": result.cost,
            "classes": {
                name: class_histograms.summary()
                for name, class_histograms in result.classes.items()
            },
        }
        for result in results
    ]


def format_table(summary: list[dict[str, Any]]) -> str:
    """Return a table of every phase and class, then the cost of each phase.

    Latencies are in milliseconds.
    """
    lines = [HEADER]
    for phase in summary:
        for name, result in sorted(phase["classes"].items()):
            lines.append(_format_class_line(phase["phase"], name, result))
    lines.append("")
    lines.extend(_format_cost_line(phase) for phase in summary if phase["cost"])
    return "\n".join(lines)


def format_histograms(summary: list[dict[str, Any]]) -> str:
    """Return the latency histogram of each class, with a column for each phase."""
    lines = []
    names = sorted({name for phase in summary for name in phase["classes"]})
    bounds = [f"to {bound} ms" for bound in BUCKETS_MS]
    bounds.append(f"above {BUCKETS_MS[-1]} ms")
    for name in names:
        phases = [phase for phase in summary if name in phase["classes"]]
        columns = [phase["classes"][name]["latency_buckets"] for phase in phases]
        headings = "".join(f"{phase['phase']:>22}" for phase in phases)
        lines.append(f"{name:<16}{headings}")
        for index, bound in enumerate(bounds):
            cells = [_format_bar(column[index], sum(column)) for column in columns]
            lines.append(f"{bound:<16}" + "".join(f"{cell:>22}" for cell in cells))
        lines.append("")
    return "\n".join(lines)


def _format_bar(count: int, total: int) -> str:
    length = round(MAX_BAR_CHARS * count / total) if total else 0
    return f"{'#' * length} {count:>5}" if count else "."


def format_comparison(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> str:
    """Return a table of the latencies of two runs and their ratios, for each phase."""
    lines = [f"{'phase':<22}{'class':<16}{'p50':>16}{'p99':>16}{'p99.9':>16}"]
    for old, new in zip(before, after, strict=True):
        for name in sorted(old["classes"].keys() & new["classes"].keys()):
            cells = "".join(
                _format_ratio(old["classes"][name], new["classes"][name], quantile)
                for quantile in ("p50", "p99", "p99.9")
            )
            lines.append(f"{old['phase']:<22}{name:<16}{cells}")
    return "\n".join(lines)


def _format_class_line(phase: str, name: str, result: dict[str, Any]) -> str:
    latency = result["latency_ms"]
    outcomes = " ".join(f"{k}={v}" for k, v in sorted(result["outcomes"].items()))
    return (
        f"{phase:<22}{name:<16}{result['count']:>6}"
        f"{latency['p50']:>8.1f}{latency['p90']:>8.1f}{latency['p99']:>8.1f}"
        f"{latency['p99.9']:>8.1f}{result['coverage_mean'] or 0:>10.4f}"
        f"{result['whole_share'] or 0:>8.4f}  {outcomes}"
    )


def _format_cost_line(phase: dict[str, Any]) -> str:
    cost = phase["cost"]
    # The cost covers the whole phase with its settle time, as does the number of
    # requests sent.
    sent = phase["sent"]
    cpu_ms_per_request = cost["cpu_ms"] / sent if sent else 0.0
    runs_per_request = cost["backend_runs"] / sent if sent else 0.0
    return (
        f"{phase['phase']:<22}processor {cpu_ms_per_request:.2f} ms a request, "
        f"{runs_per_request:.2f} runs at backend servers a request "
        f"(peak {cost['backend_peak']}, cold peak {cost['cold_peak']}), "
        f"{cost['peer_calls']} peer calls with "
        f"{cost['peer_messages']} messages and {cost['peer_bytes']} bytes, "
        f"{cost['platform_calls']} platform calls, {cost['peak_mb']} MB"
    )


def _format_ratio(old: dict[str, Any], new: dict[str, Any], quantile: str) -> str:
    old_ms, new_ms = old["latency_ms"][quantile], new["latency_ms"][quantile]
    ratio = new_ms / old_ms if old_ms else 0.0
    return f"{old_ms:>6.1f}{new_ms:>6.1f}{ratio:>4.2f}"
