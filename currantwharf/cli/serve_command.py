"""The commands `serve` and `baseline`, which run one instance."""

import sys
from pathlib import Path

import click

from currantwharf.cli.unwrap_or_exit import unwrap_or_exit
from currantwharf.settings import load_settings


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="YAML file with the settings of this instance.",
)
def serve(path: Path) -> None:
    """Run one instance until SIGTERM, then stop it gracefully."""
    settings = unwrap_or_exit(load_settings(path))
    from twisted.internet import reactor

    from currantwharf.node import serve as run
    from currantwharf.node import set_up_logs

    set_up_logs(settings.log_level, settings.instance)
    sys.exit(run(settings, reactor))


@click.command(hidden=True)
@click.option("--settings", "path", type=click.Path(path_type=Path), required=True)
def baseline(path: Path) -> None:
    """Run one instance of the baseline that measurements are compared with."""
    settings = unwrap_or_exit(load_settings(path))
    from twisted.internet import reactor

    from currantwharf.bench.baseline import serve_baseline

    serve_baseline(settings, reactor)
