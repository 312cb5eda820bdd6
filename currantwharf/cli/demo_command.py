"""The command `demo`: requests and faults against a running demo site."""

import sys
import time
from pathlib import Path

import click

from currantwharf.cli.bench_command import run_experiment
from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.http_call import call, wait_until_ready
from currantwharf.cli.query_command import format_answer
from currantwharf.cli.unwrap_or_exit import unwrap_or_exit

# New holders of request ids grant no claims during their first 5 s.
SETTLE_S = 6

SAMPLES = (
    ("grain-lookup", "longan board 40 cm"),
    ("warranty-claim", "split acacia board"),
    ("block-order", "camphor block"),
)


@click.command()
@click.argument("experiment", type=click.Path(path_type=Path, exists=True))
def demo(experiment: Path) -> None:
    """Query a running demo site, inject faults under load, and print the results."""
    from currantwharf.bench import format_histograms, format_table, load_experiment

    plan = unwrap_or_exit(load_experiment(experiment))
    for address in plan.instances:
        wait_until_ready(address)
    time.sleep(SETTLE_S)
    for class_name, text in SAMPLES:
        _print_sample(plan.instances[0], class_name, text)
    click.echo("\nNow under load. Latencies in ms, from the intended send time:\n")
    summary = run_experiment(plan)
    click.echo(format_table(summary))
    click.echo("\n" + format_histograms(summary))


def _print_sample(address: str, class_name: str, text: str) -> None:
    body = {
        "id": f"demo-{class_name}-{time.time_ns()}",
        "class": class_name,
        "caller": "demo",
        "deadline_ms": 1000,
        "issued_at": time.time_ns() / 1e9,
        "body": {"text": text},
    }
    click.echo(f"\n{class_name}: {text}")
    answer = call(address, "/v1/requests", body)
    if answer.is_err():
        click.echo(str(answer.unwrap_err()), err=True)
        sys.exit(ExitCode.CONNECTION)
    click.echo(format_answer(answer.unwrap()))
