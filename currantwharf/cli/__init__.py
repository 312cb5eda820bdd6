"""The command line."""

import click

from currantwharf import __version__
from currantwharf.cli.lazy_group import LazyGroup

COMMAND_MODULES = {
    "baseline": "currantwharf.cli.serve_command",
    "bench": "currantwharf.cli.bench_command",
    "check-settings": "currantwharf.cli.check_commands",
    "check-targets": "currantwharf.cli.check_commands",
    "completion": "currantwharf.cli.completion_command",
    "demo": "currantwharf.cli.demo_command",
    "explain": "currantwharf.cli.explain_command",
    "gateway": "currantwharf.cli.gateway_command",
    "gateway-demo": "currantwharf.cli.gateway_demo_command",
    "make-site": "currantwharf.cli.standin_command",
    "query": "currantwharf.cli.query_command",
    "serve": "currantwharf.cli.serve_command",
    "standin": "currantwharf.cli.standin_command",
    "status": "currantwharf.cli.status_command",
}


@click.group(
    cls=LazyGroup,
    modules=COMMAND_MODULES,
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(__version__, prog_name="currantwharf")
def main() -> None:
    """A query tier over many shards that meets a target for each class of work."""
