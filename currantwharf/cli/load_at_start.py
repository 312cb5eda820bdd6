"""Loading of the settings while the platform may still be writing them."""

import time
from pathlib import Path

import click
from result import Result

from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.platform.platform_settings import (
    PlatformSettings,
    load_platform_settings,
)

ATTEMPTS = 100
ATTEMPT_INTERVAL_S = 0.05


def load_settings_at_start(path: Path) -> Result[PlatformSettings, InvalidDocument]:
    """Load the settings file, again for some seconds if it can't be loaded.

    A process is started while the platform writes the file, which may then be missing,
    empty or cut.
    """
    loaded = load_platform_settings(path)
    if loaded.is_err():
        click.echo(f"trying again: {loaded.unwrap_err()}", err=True)
    for _ in range(ATTEMPTS - 1):
        if loaded.is_ok():
            break
        time.sleep(ATTEMPT_INTERVAL_S)
        loaded = load_platform_settings(path)
    return loaded
