"""The command `explain`, which finds a request in the logs."""

import json
import sys
from pathlib import Path

import click

from currantwharf.cli.exit_code import ExitCode
from currantwharf.gateway.explain import describe, find_lines


@click.command()
@click.argument("request_id")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True)
)
@click.option("--json", "as_json", is_flag=True, help="Print the lines as JSON.")
def explain(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Print the log lines of a request, from any number of instances, in order."""
    lines = find_lines(request_id, files)
    if as_json:
        click.echo(json.dumps(lines, indent=1))
    else:
        for line in lines:
            click.echo(describe(line))
    if not lines:
        click.echo(f"no log line in {len(files)} files mentions {request_id}", err=True)
        sys.exit(ExitCode.FAILED)
