"""The command `gateway-demo`."""

import click


@click.command()
def gateway_demo() -> None:
    """Show the gateway on loopback, with a stand-in of the platform."""
    from twisted.internet import reactor

    from currantwharf.demo.gateway_demo import run_gateway_demo
    from currantwharf.runtime.component_log import set_up_logs

    set_up_logs("error", "demo")
    run_gateway_demo(reactor)
