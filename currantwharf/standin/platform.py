"""A small stand-in for the platform, with a configuration and a list of instances.

Instances only read and watch them; tests and the demo publish, in the role of the
operator.
"""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request

from currantwharf.adapters.bounded_site import read_body

CONFIG = "config"
INSTANCES = "instances"


class PlatformValue:
    """A published document, its version and the watches that wait for the next one."""

    def __init__(self) -> None:
        self.version = 0
        self.document = b"{}"
        self._watches: list[Deferred[None]] = []

    def publish(self, document: bytes, version: int | None = None) -> None:
        """Publish a document, by default as the next version; answer the watches."""
        self.version = self.version + 1 if version is None else version
        self.document = document
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.callback(None)

    def wait(self, reactor: Any, wait_s: float) -> "Deferred[None]":
        """Return a Deferred that fires at the next publication or after `wait_s`."""
        watch: Deferred[None] = Deferred()
        self._watches.append(watch)
        timer = reactor.callLater(wait_s, self._expire_watch, watch)
        watch.addBoth(lambda _: timer.active() and timer.cancel())
        return watch

    def _expire_watch(self, watch: "Deferred[None]") -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.callback(None)


class Platform:
    """The published values of the platform; while `down` is set, reads get 503."""

    def __init__(self) -> None:
        self.values = {
            CONFIG: PlatformValue(),
            INSTANCES: PlatformValue(),
        }
        self.down = False
        self.calls = 0


def platform_resource(platform: Platform, reactor: Any) -> Any:
    """Return the web resource of the stand-in platform."""
    app = Klein()

    @app.route("/v1/<name>")
    async def read(request: Request, name: str) -> bytes:
        value = platform.values[name]
        platform.calls += 1
        after = int(_get_argument(request, b"after"))
        wait_s = float(_get_argument(request, b"wait_s"))
        if not platform.down and value.version <= after and wait_s > 0:
            await value.wait(reactor, wait_s)
        if platform.down:
            request.setResponseCode(503)
            return b"{}"
        if value.version <= after:
            request.setResponseCode(204)
            return b""
        return _encode_value(name, value)

    @app.route("/control/<name>", methods=["PUT"])
    def publish(request: Request, name: str) -> bytes:
        platform.values[name].publish(read_body(request))
        return msgspec.json.encode({"version": platform.values[name].version})

    @app.route("/control/down", methods=["POST"])
    def down(request: Request) -> bytes:
        platform.down = read_body(request) == b"true"
        return b"{}"

    return app.resource()


def _get_argument(request: Request, name: bytes) -> bytes:
    values: dict[bytes, list[bytes]] = request.args or {}
    return values.get(name, [b"0"])[0]


def _encode_value(name: str, value: PlatformValue) -> bytes:
    document = msgspec.Raw(value.document)
    if name == CONFIG:
        return msgspec.json.encode({"version": value.version, "value": document})
    fields = msgspec.json.decode(value.document, type=dict[str, msgspec.Raw])
    fields["revision"] = msgspec.Raw(str(value.version).encode())
    return msgspec.json.encode(fields)
