"""The command `completion`."""

import click
from click.shell_completion import get_completion_class


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL, to be sourced by it."""
    from currantwharf.cli import main

    make = get_completion_class(shell)
    if make is not None:
        script = make(main, {}, "currantwharf", "_CURRANTWHARF_COMPLETE")
        click.echo(script.source())
