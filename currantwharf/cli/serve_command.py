"""The command `serve`."""

import sys
from pathlib import Path

import click

from currantwharf.cli.exit_code import ExitCode
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
    loaded = load_settings(path)
    if loaded.is_err():
        click.echo(str(loaded.unwrap_err()), err=True)
        sys.exit(ExitCode.SETTINGS)
    from twisted.internet import reactor

    from currantwharf.node import serve as run
    from currantwharf.node import set_up_logs

    settings = loaded.unwrap()
    set_up_logs(settings.log_level, settings.instance)
    sys.exit(run(settings, reactor))
