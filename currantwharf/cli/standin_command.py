"""The command `standin`: the platform and backend servers of a demo site."""

from typing import Any

import click

from currantwharf.demo.plans import PLANS
from currantwharf.demo.site_plan import config_of, encode, list_of


@click.command()
@click.option("--site", type=click.Choice(sorted(PLANS)), default="kuo-hsing-small")
def standin(site: str) -> None:
    """Run the stand-in platform and backend servers of a site on loopback."""
    from twisted.internet import reactor as installed

    from currantwharf.standin.run_site import listen_at, run_site
    from currantwharf.standin.site_control import control_resource

    reactor: Any = installed
    plan = PLANS[site]
    running = run_site(
        config_of(plan), list_of(plan), plan.platform, plan.service_ms, encode, reactor
    )
    listen_at(reactor, plan.control, control_resource(running))
    reactor.run()
