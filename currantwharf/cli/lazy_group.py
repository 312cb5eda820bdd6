"""A group of commands that imports each only when it is used."""

from importlib import import_module

import click


class LazyGroup(click.Group):
    """Import the module of a command when it is asked for.

    An instance starts in a fraction of the time, and keeps out of its memory what
    only the other commands need. `modules` maps names of commands to modules, and
    the command stands in its module under its name with underscores.
    """

    def __init__(
        self, *args: object, modules: dict[str, str], **kwargs: object
    ) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._modules = modules

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *self._modules})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, imported now if need be."""
        if cmd_name not in self._modules:
            return super().get_command(ctx, cmd_name)
        module = import_module(self._modules[cmd_name])
        command: click.Command = getattr(module, cmd_name.replace("-", "_"))
        return command
