"""The command `status`."""

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
        called = call(address, path)
        if called.is_err():
            click.echo(str(called.unwrap_err()), err=True)
            sys.exit(ExitCode.CONNECTION)
        answers.append(called.unwrap())
    if as_json:
        both = {"status": answers[0], "metrics": answers[1]}
        click.echo(json.dumps(both, indent=1))
    else:
        click.echo(describe(answers[0], answers[1]))


def describe(state: dict[str, Any], metrics: dict[str, Any]) -> str:
    """Return the state and metrics as lines for a person."""
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
        lines.append(f"held, since servers were lost to it: {key}")
    for name, server in sorted(state["owned_servers"].items()):
        lines.append(
            f"server {name}: {server['condition']}, limit {server['limit']} of "
            f"{server['slots']}, {server['in_flight']} in flight, "
            f"{server['queue']} waiting"
        )
    for name, found in sorted(metrics["classes"].items()):
        latency = found["latency_ms"]
        lines.append(
            f"class {name}: {found['count']} requests, p50 {latency['p50']} ms, "
            f"p99 {latency['p99']} ms, coverage {found['coverage_mean']}, "
            f"extra load {found['extra_load_mean']}"
        )
    return "\n".join(lines)
