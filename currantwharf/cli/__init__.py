"""The command line."""

import click

from currantwharf import __version__
from currantwharf.cli.bench_command import bench
from currantwharf.cli.check_commands import check_settings, check_targets
from currantwharf.cli.completion_command import completion
from currantwharf.cli.demo_command import demo
from currantwharf.cli.query_command import query
from currantwharf.cli.serve_command import baseline, serve
from currantwharf.cli.standin_command import make_site, standin
from currantwharf.cli.status_command import status


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="currantwharf")
def main() -> None:
    """A query tier over many shards that meets a target for each class of work."""


for command in (
    baseline,
    bench,
    check_settings,
    check_targets,
    completion,
    demo,
    make_site,
    query,
    serve,
    standin,
    status,
):
    main.add_command(command)
