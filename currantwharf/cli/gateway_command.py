"""The command `gateway`."""

import os
import sys
from pathlib import Path

import click

from currantwharf.cli.loaded import loaded_or_exit
from currantwharf.platform.names import SETTINGS_VARIABLE
from currantwharf.platform.platform_settings import load_platform_settings


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    help=f"YAML file that the platform writes; by default the one in {SETTINGS_VARIABLE}.",
)
def gateway(path: Path | None) -> None:
    """Run one instance on the users' platform until SIGTERM."""
    if path is None:
        if SETTINGS_VARIABLE not in os.environ:
            raise click.UsageError(f"no --settings and no {SETTINGS_VARIABLE}")
        path = Path(os.environ[SETTINGS_VARIABLE])
    settings = loaded_or_exit(load_platform_settings(path))
    from twisted.internet import reactor

    from currantwharf.platform.serve import serve
    from currantwharf.runtime.part_log import set_up_logs

    set_up_logs("info", settings.place.instance)
    sys.exit(serve(settings, reactor))
