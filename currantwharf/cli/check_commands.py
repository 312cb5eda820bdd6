"""The commands `check-settings` and `check-targets`."""

import sys
from pathlib import Path

import click

from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.loaded import loaded_or_exit


@click.command("check-settings")
@click.argument("path", type=click.Path(path_type=Path))
def check_settings(path: Path) -> None:
    """Check the settings file at PATH and print every problem."""
    from currantwharf.settings import load_settings

    loaded_or_exit(load_settings(path))
    click.echo(f"{path}: the settings are valid")


@click.command("check-targets")
@click.argument("path", type=click.Path(path_type=Path))
def check_targets(path: Path) -> None:
    """Check the configuration at PATH as instances would before it is published."""
    from currantwharf.config import parse_config

    try:
        document = path.read_bytes()
    except OSError as exc:
        click.echo(str(exc), err=True)
        sys.exit(ExitCode.SETTINGS)
    config = loaded_or_exit(parse_config(0, document)).config
    for name, request_class in sorted(config.classes.items()):
        targets = request_class.targets
        way = "coverage" if targets.prefer == "latency" else "latency"
        click.echo(
            f"{name}: {targets.latency_ms:g} ms at p{targets.percentile:g}, coverage "
            f"{targets.coverage:g}, extra load {targets.extra_load:g}; "
            f"{way} gives way first"
        )
