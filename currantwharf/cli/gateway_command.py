"""The command `gateway`, which runs an instance on the platform."""

import contextlib
import gc
import os
import sys
from pathlib import Path

import click

from currantwharf.cli.load_at_start import load_settings_at_start
from currantwharf.cli.unwrap_or_exit import unwrap_or_exit
from currantwharf.platform.names import SETTINGS_VARIABLE
from currantwharf.runtime.listening_socket import open_listening_socket


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    help=f"YAML file that the platform writes; {SETTINGS_VARIABLE} names the default.",
)
def gateway(path: Path | None) -> None:
    """Run one instance on the users' platform until SIGTERM."""
    if path is None:
        if SETTINGS_VARIABLE not in os.environ:
            raise click.UsageError(f"pass --settings or set {SETTINGS_VARIABLE}")
        path = Path(os.environ[SETTINGS_VARIABLE])
    # Imported objects live as long as the process, so collecting garbage while they
    # load only delays the start.
    gc.disable()
    settings = unwrap_or_exit(load_settings_at_start(path))
    callers_socket = None
    # Where the port is in use, the instance opens it later.
    with contextlib.suppress(OSError):
        callers_socket = open_listening_socket(settings.caller_address)
    from twisted.internet import reactor

    from currantwharf.platform.platform_instance import serve
    from currantwharf.runtime.bounded_stream import BoundedStream
    from currantwharf.runtime.clock import SystemClock
    from currantwharf.runtime.component_log import component_logger, set_up_logs
    from currantwharf.runtime.early_signals import has_held_stop

    stream = BoundedStream(sys.stdout.fileno(), SystemClock().now)
    set_up_logs("info", settings.instance_info.instance, stream)
    gc.freeze()
    gc.enable()
    if has_held_stop():
        component_logger("serve").info("stopped during the start")
        return
    serve(settings, path, reactor, callers_socket)
