"""A demo of the gateway on loopback: three instances and a stand-in platform."""

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpResponse,
    encode_request,
)
from currantwharf.platform.platform_instance import PlatformInstance
from currantwharf.platform.platform_settings import load_platform_settings
from currantwharf.standin.platform_site import PlatformSite

INSTANCES = 3
FIRST_PORT = 19600
SETTLE_S = 2.0  # for the instances to discover each other and all servers
SILENT_SHARD_PREFIX = "i-shard-0-"


class GatewayDemo:
    """The stand-ins and the instances in one process, and the requests to them."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._site = PlatformSite(reactor)
        self._sent_count = 0

    async def run(self) -> None:
        """Send sample requests, first without faults, then with two in turn.

        The faults are a silent shard and a data centre that is taken out of service.
        """
        self._site.start()
        with tempfile.TemporaryDirectory() as folder:
            for number in range(1, INSTANCES + 1):
                path = self._site.write_settings(Path(folder), number, FIRST_PORT)
                settings = load_platform_settings(path).unwrap()
                instance = PlatformInstance(settings, self._reactor, 0)
                instance.listen()
                instance.start()
        await self._wait(SETTLE_S)
        await self._print_response("a lookup over four shards", "GET", "/lookup/longan")
        await self._print_response("an order", "POST", "/order/camphor-block")
        for name, server in self._site.servers.items():
            server.faults.silent = name.startswith(SILENT_SHARD_PREFIX)
        await self._print_response(
            "a lookup, one shard silent", "GET", "/lookup/acacia"
        )
        for server in self._site.servers.values():
            server.faults.silent = False
        self._site.store.put("op/evacuate/taipei-a", {})
        await self._wait(SETTLE_S)
        await self._print_response(
            "a lookup, a data centre out", "GET", "/lookup/camphor"
        )
        await self._print_response("a route that is not there", "GET", "/nowhere/")

    async def _print_response(self, label: str, method: str, path: str) -> None:
        started_at = self._reactor.seconds()
        response = await self._send_request(method, path)
        elapsed_ms = (self._reactor.seconds() - started_at) * 1000
        if isinstance(response, ConnectionFailure):
            click.echo(f"{label:32} {response}")
            return
        missing = response.get(b"x-missing-parts")
        suffix = f", {int(missing)} parts missing" if missing is not None else ""
        click.echo(f"{label:32} {response.status} in {elapsed_ms:.1f} ms{suffix}")

    def _send_request(
        self, method: str, path: str
    ) -> "Deferred[HttpResponse | ConnectionFailure]":
        self._sent_count += 1
        headers = (
            (b"host", b"search.example"),
            (b"x-request-id", b"demo-%d" % self._sent_count),
            (b"x-deadline-ms", b"1000"),
        )
        data = encode_request(method.encode(), path.encode(), headers)
        done: Deferred[HttpResponse | ConnectionFailure] = Deferred()
        host = f"127.0.0.{2 + self._sent_count % INSTANCES}"
        pool = ConnectionPool(
            self._reactor, self._reactor.seconds, (host, FIRST_PORT), 1
        )
        deadline = self._reactor.seconds() + 5
        on_result: Callable[..., None] = done.callback
        pool.send(
            Exchange(
                lambda now: data, lambda response: True, deadline, False, on_result
            )
        )
        return done

    def _wait(self, seconds: float) -> "Deferred[None]":
        return deferLater(self._reactor, seconds, lambda: None)


def run_gateway_demo(reactor: Any) -> None:
    """Run the demo to its end."""
    demo = GatewayDemo(reactor)

    def start() -> None:
        done = ensureDeferred(demo.run())
        done.addBoth(lambda result: (reactor.stop(), result)[1])
        done.addErrback(lambda failure: click.echo(failure.getErrorMessage(), err=True))

    reactor.callWhenRunning(start)
    reactor.run()
