"""The operators' read-only HTTP interface: readiness, status and metrics."""

from typing import Any, Protocol

import msgspec
from klein import Klein
from twisted.web.server import Request


class OperatorHandler(Protocol):
    """Methods of an instance that the operators' interface uses."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this instance."""

    def status(self) -> dict[str, object]:
        """Return the state of the instance."""

    def metrics(self) -> dict[str, object]:
        """Return the counters and histograms."""


def operator_resource(handler: OperatorHandler) -> Any:
    """Return the web resource of the operators' interface."""
    app = Klein()

    @app.route("/ready")
    def ready(request: Request) -> bytes:
        is_ready = handler.is_ready()
        request.setResponseCode(200 if is_ready else 503)
        return msgspec.json.encode({"ready": is_ready})

    @app.route("/status")
    def status(request: Request) -> bytes:
        request.setHeader("content-type", "application/json")
        return msgspec.json.encode(handler.status())

    @app.route("/metrics")
    def metrics(request: Request) -> bytes:
        request.setHeader("content-type", "application/json")
        return msgspec.json.encode(handler.metrics())

    return app.resource()
