"""The commands `standin` and `make-site`, for demos and measurements."""

from pathlib import Path
from typing import Any

import click

from currantwharf.cli.loaded import loaded_or_exit


@click.command()
@click.argument("plan", type=click.Path(path_type=Path))
def standin(plan: Path) -> None:
    """Run the stand-in platform and backend servers of the site in PLAN."""
    from twisted.internet import reactor as installed

    from currantwharf.demo.site_plan import build_config, encode, list_of, load_plan
    from currantwharf.standin.run_site import listen_at, run_site
    from currantwharf.standin.site_control import control_resource

    reactor: Any = installed
    site = loaded_or_exit(load_plan(plan))
    running = run_site(
        build_config(site),
        list_of(site),
        site.platform,
        site.service_ms,
        encode,
        reactor,
    )
    listen_at(reactor, site.control, control_resource(running))
    reactor.run()


@click.command("make-site")
@click.argument("plan", type=click.Path(path_type=Path))
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def make_site(plan: Path, folder: Path) -> None:
    """Write the settings files of the instances of the site in PLAN to FOLDER."""
    from currantwharf.demo.site_plan import (
        build_config,
        encode,
        load_plan,
        write_settings,
    )

    site = loaded_or_exit(load_plan(plan))
    folder.mkdir(parents=True, exist_ok=True)
    write_settings(site, folder)
    (folder / "config.json").write_bytes(encode(build_config(site)))
