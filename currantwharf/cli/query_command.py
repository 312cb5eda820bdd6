"""The command `query`, which sends one request."""

import json
import sys
import time
import uuid
from typing import Any

import click

from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.http_call import call


@click.command()
@click.argument("class_name", metavar="CLASS")
@click.argument("text")
@click.option("--address", default="127.0.0.1:19010", help="Callers' host:port.")
@click.option("--deadline-ms", default=1000.0, type=click.FloatRange(min=1))
@click.option("--caller", default="command-line")
@click.option("--id", "request_id", help="The request's id; a new one if not given.")
@click.option("--resend", is_flag=True, help="Say that the id was sent before.")
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
def query(
    class_name: str,
    text: str,
    address: str,
    deadline_ms: float,
    caller: str,
    request_id: str | None,
    resend: bool,
    as_json: bool,
) -> None:
    """Send one request of CLASS that asks for TEXT and show the answer."""
    sent_id = request_id or str(uuid.uuid4())
    body = {
        "id": sent_id,
        "class": class_name,
        "caller": caller,
        "deadline_ms": deadline_ms,
        "issued_at": time.time_ns() / 1e9,
        "resend": resend,
        "body": {"text": text, "id": sent_id},
    }
    result = call(address, "/v1/requests", body)
    if result.is_err():
        click.echo(str(result.unwrap_err()), err=True)
        sys.exit(ExitCode.CONNECTION)
    answer = result.unwrap()
    click.echo(json.dumps(answer, indent=1) if as_json else format_answer(answer))
    if answer["outcome"] != "answered":
        sys.exit(ExitCode.NOT_ANSWERED)


def format_answer(answer: dict[str, Any]) -> str:
    """Return an answer as human-readable lines."""
    lines = [f"outcome: {answer['outcome']}"]
    if "error" in answer:
        error = answer["error"]
        lines.append(f"error: {error['type']} {error.get('detail', '')}".rstrip())
    if "coverage" in answer:
        coverage = answer["coverage"]
        lines.append(f"index version: {answer['index_version']}")
        lines.append(f"coverage: {coverage['answered']} of {coverage['shards']} shards")
    for hit in answer.get("hits", []):
        lines.append(f"  {hit['score']:.4f}  {hit['document']}  {hit['text']}")
    return "\n".join(lines)
