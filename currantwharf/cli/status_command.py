"""The command `status`, which prints the state of an instance."""

import json
import sys
from typing import Any

import click

from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.http_call import call


@click.command()
@click.option("--address", default="127.0.0.1:19012", help="Operators' host:port.")
@click.option("--json", "as_json", is_flag=True, help="Print everything as JSON.")
def status(address: str, as_json: bool) -> None:
    """Show the state and the metrics of one instance."""
    answers = []
    for path in ("/status", "/metrics"):
        result = call(address, path)
        if result.is_err():
            click.echo(str(result.unwrap_err()), err=True)
            sys.exit(ExitCode.CONNECTION)
        answers.append(result.unwrap())
    if as_json:
        document = {"status": answers[0], "metrics": answers[1]}
        click.echo(json.dumps(document, indent=1))
    else:
        click.echo(format_status(answers[0], answers[1]))


def format_status(state: dict[str, Any], metrics: dict[str, Any]) -> str:
    """Return the state and metrics as human-readable lines."""
    config = state["config"]
    lines = [
        f"instance {state['instance']} in {state['data_centre']}: {state['phase']}",
        f"configuration: version {config['version']}, "
        f"index version {config['index_version']}",
    ]
    if config["refused"]:
        lines.append(f"refused configuration: {config['refused']}")
    for name, member in sorted(state["members"].items()):
        ready = "ready" if member["ready"] else "not ready"
        lines.append(f"peer {name}: {member['state']}, {ready}")
    for key in state["held_requests"]:
        lines.append(f"request held because servers were lost while running it: {key}")
    for name, server in sorted(state["owned_servers"].items()):
        lines.append(
            f"server {name}: {server['condition']}, limit {server['limit']} of "
            f"{server['slots']}, {server['in_flight']} in flight, "
            f"{server['queue']} waiting"
        )
    for name, stats in sorted(metrics["classes"].items()):
        latency = stats["latency_ms"]
        lines.append(
            f"class {name}: {stats['count']} requests, p50 {latency['p50']} ms, "
            f"p99 {latency['p99']} ms, coverage {stats['coverage_mean']}, "
            f"extra load {stats['extra_load_mean']}"
        )
    return "\n".join(lines)
