"""A group of commands that imports each command on first use."""

from importlib import import_module

import click


class LazyGroup(click.Group):
    """A click group that imports the module of a command only when it is looked up.

    An instance therefore starts in a fraction of the time and does not keep in memory
    what only other commands import. `modules` maps the names of commands to modules;
    each module defines its command under the same name, with underscores for hyphens.
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
        """Return a command, importing its module if necessary."""
        if cmd_name not in self._modules:
            return super().get_command(ctx, cmd_name)
        module = import_module(self._modules[cmd_name])
        command: click.Command = getattr(module, cmd_name.replace("-", "_"))
        return command
