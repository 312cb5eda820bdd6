"""The commands `check-settings` and `check-targets`."""

import json
import sys
from pathlib import Path

import click

from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.unwrap_or_exit import unwrap_or_exit
from currantwharf.config import Targets


@click.command("check-settings")
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the outcome as JSON.")
def check_settings(path: Path, as_json: bool) -> None:
    """Check the settings file at PATH and print every problem."""
    from currantwharf.settings import load_settings

    unwrap_or_exit(load_settings(path), as_json)
    valid = json.dumps({"valid": True})
    click.echo(valid if as_json else f"{path}: the settings are valid")


@click.command("check-targets")
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the outcome as JSON.")
def check_targets(path: Path, as_json: bool) -> None:
    """Check the configuration at PATH as instances do, before it is published."""
    from currantwharf.config import parse_config

    try:
        document = path.read_bytes()
    except OSError as exc:
        click.echo(str(exc), err=True)
        sys.exit(ExitCode.SETTINGS)
    config = unwrap_or_exit(parse_config(0, document), as_json).config
    yielding_targets = {
        name: _get_yielding_target(c.targets) for name, c in config.classes.items()
    }
    if as_json:
        click.echo(json.dumps({"valid": True, "gives_way": yielding_targets}, indent=1))
        return
    for name, request_class in sorted(config.classes.items()):
        targets = request_class.targets
        click.echo(
            f"{name}: {targets.latency_ms:g} ms at p{targets.percentile:g}, coverage "
            f"{targets.coverage:g}, extra load {targets.extra_load:g}; "
            f"{yielding_targets[name]} gives way first"
        )


def _get_yielding_target(targets: Targets) -> str:
    return "coverage" if targets.prefer == "latency" else "latency"
