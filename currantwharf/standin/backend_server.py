"""The HTTP interface of a stand-in backend server."""

from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.web.server import Request

from currantwharf.adapters.bounded_site import read_body
from currantwharf.node import SystemClock
from currantwharf.standin.backend import Backend, Work
from currantwharf.standin.fault import Fault


def backend_resource(backend: Backend, clock: SystemClock) -> Any:
    """Return the web resource of a stand-in server and of its fault controls."""
    app = Klein()

    @app.route("/v1/shard-requests", methods=["POST"])
    def shard_requests(request: Request) -> "Deferred[bytes]":
        return ensureDeferred(_run_batch(backend, clock, read_body(request)))

    @app.route("/v1/cancellations", methods=["POST"])
    def cancellations(request: Request) -> bytes:
        for pair in msgspec.json.decode(read_body(request))["requests"]:
            backend.cancel(pair["query"], pair["attempt"], clock.now())
        return b"{}"

    @app.route("/v1/health")
    def health(request: Request) -> bytes:
        # Health endpoints lag and mislead, so this one says healthy under any fault.
        return msgspec.json.encode({"boot_id": backend.boot_id, "healthy": True})

    @app.route("/control/fault", methods=["POST"])
    def fault(request: Request) -> bytes:
        backend.fault = msgspec.json.decode(read_body(request), type=Fault)
        return b"{}"

    @app.route("/control/cold", methods=["POST"])
    def cold(request: Request) -> bytes:
        backend.turn_cold(read_body(request).decode() or "cold")
        return b"{}"

    @app.route("/control/stats")
    def stats(request: Request) -> bytes:
        return msgspec.json.encode(backend.stats)

    return app.resource()


async def _run_batch(backend: Backend, clock: SystemClock, body: bytes) -> bytes:
    started = clock.now()
    fields = msgspec.json.decode(body)
    batch = [msgspec.convert(item, Work) for item in fields["requests"]]
    items = await gatherResults([backend.submit(work, started) for work in batch])
    answer = {
        "boot_id": backend.boot_id,
        "items": items,
        "service_ms": (clock.now() - started) * 1000,
        "leaving": backend.fault.draining,
    }
    return msgspec.json.encode(answer)
