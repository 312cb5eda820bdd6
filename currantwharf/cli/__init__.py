"""The command line."""

import click

from currantwharf import __version__
from currantwharf.cli.serve_command import serve
from currantwharf.cli.standin_command import standin


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="currantwharf")
def main() -> None:
    """A query tier over many shards that meets a target for each class of work."""


main.add_command(serve)
main.add_command(standin)
