"""Finding and describing the log lines of one request."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Line = dict[str, Any]


def find_lines(request_id: str, files: Iterable[Path]) -> list[Line]:
    """Return the log lines of a request, ordered by time.

    A line may have a prefix before its JSON object, such as a log collector's
    timestamp. Lines without a JSON object are skipped.
    """
    found = []
    for path in files:
        with path.open(errors="replace") as stream:
            for text in stream:
                if request_id in text:
                    line = _parse_line(text)
                    if line is not None and line.get("request_id") == request_id:
                        found.append(line)
    return sorted(found, key=lambda line: str(line.get("time", "")))


def describe(line: Line) -> str:
    """Return a readable text for a log line."""
    headline = (
        f"{line.get('time', '?')} {line.get('instance', '?')} {line.get('message')}"
    )
    if "server" in line:
        status = f" with status {line['status']}" if "status" in line else ""
        return (
            f"{headline}: {line['result']}{status}"
            f" at {line['server']} of {line['service']}, {line['after_ms']} ms in"
        )
    if "hub" in line:
        return f"{headline}: {_describe_hub(line)}"
    if "elapsed_ms" not in line:
        return f"{headline}: {line['reason']}" if "reason" in line else headline
    late = -float(line["target_left_ms"])
    timing = f"{late:.1f} ms late" if late > 0 else f"{-late:.1f} ms before its target"
    texts = [
        headline,
        f"  class {line['route']}, configuration {line['config_version']},"
        f" reason {line['reason']}",
        f"  after {line['elapsed_ms']} ms, {timing},"
        f" {line['deadline_left_ms']} ms before the deadline",
        f"  {line['answered']} of {line['parts']} parts,"
        f" {line['sends']} sends, {line['extras']} of them repeats",
    ]
    texts += [_describe_part(part) for part in line.get("missing", ())]
    return "\n".join(texts)


def _describe_hub(line: Line) -> str:
    if "late_ms" in line:
        return (
            f"by hub {line['hub']} with status {line['status']},"
            f" {line['after_ms']} ms in, {line['late_ms']} ms late"
        )
    return f"{line['result']} at hub {line['hub']}, query {line['query']}"


def _describe_part(part: dict[str, Any]) -> str:
    waiting = ", ".join(
        f"{server} for {waited} ms" for server, waited in part["under_way"].items()
    )
    text = f"  without {part['service']}: {part['sends']} sends"
    if waiting:
        text += f", waiting for {waiting}"
    if part["why_not_again"]:
        text += f", not sent again: {part['why_not_again']}"
    return text


def _parse_line(text: str) -> Line | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except json.JSONDecodeError:
        return None
    return line if isinstance(line, dict) else None
