"""The command `bench`."""

import json
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import ensureDeferred

from currantwharf.cli.http_call import wait_until_ready
from currantwharf.cli.loaded import loaded_or_exit


@click.command()
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option(
    "--output", type=click.Path(path_type=Path), help="Write the result as JSON."
)
@click.option(
    "--against",
    type=click.Path(path_type=Path, exists=True),
    help="Compare with the JSON of an earlier run.",
)
def bench(experiment: Path, output: Path | None, against: Path | None) -> None:
    """Offer the load of EXPERIMENT to running instances and print what came back."""
    from currantwharf.bench import (
        format_comparison,
        format_histograms,
        format_table,
        load_experiment,
    )

    plan = loaded_or_exit(load_experiment(experiment))
    for address in plan.instances:
        wait_until_ready(address)
    summary = run_experiment(plan)
    click.echo(format_table(summary))
    click.echo("\n" + format_histograms(summary))
    if output is not None:
        output.write_text(json.dumps(summary, indent=1), encoding="utf-8")
    if against is not None:
        earlier = json.loads(against.read_text(encoding="utf-8"))
        click.echo(format_comparison(earlier, summary))


def run_experiment(experiment: Any) -> list[dict[str, Any]]:
    """Run an experiment in this process and return its summary."""
    from twisted.internet import reactor as installed

    from currantwharf.bench import LoadGenerator, summarize

    reactor: Any = installed
    summary: list[dict[str, Any]] = []

    async def run() -> None:
        try:
            summary.extend(summarize(await LoadGenerator(reactor, experiment).run()))
        finally:
            reactor.stop()

    reactor.callWhenRunning(lambda: ensureDeferred(run()))
    reactor.run()
    return summary
