"""The command `completion`."""

import click
from click.shell_completion import get_completion_class


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL to source."""
    from currantwharf.cli import main

    completion_class = get_completion_class(shell)
    if completion_class is not None:
        script = completion_class(main, {}, "currantwharf", "_CURRANTWHARF_COMPLETE")
        click.echo(script.source())
