"""HTTP controls of a running stand-in site: faults, lost servers, publications."""

from dataclasses import replace
from typing import Any

import msgspec
from klein import Klein
from twisted.web.server import Request

from currantwharf.adapters.bounded_site import read_body
from currantwharf.standin.fault import Fault
from currantwharf.standin.running_site import RunningSite


def control_resource(site: RunningSite) -> Any:
    """Return the web resource through which demos and measurements control the site."""
    app = Klein()

    @app.route("/lose/<server>", methods=["POST"])
    async def lose(request: Request, server: str) -> bytes:
        await site.kill_server(server)
        return b"{}"

    @app.route("/restore/<server>", methods=["POST"])
    def restore(request: Request, server: str) -> bytes:
        site.restore_server(server)
        return b"{}"

    @app.route("/fault/<server>", methods=["POST"])
    def fault(request: Request, server: str) -> bytes:
        new = msgspec.json.decode(read_body(request), type=Fault)
        for name, backend in site.backends.items():
            if server in ("all", name):
                backend.fault = new
        return b"{}"

    @app.route("/cold/<server>", methods=["POST"])
    def cold(request: Request, server: str) -> bytes:
        for name, backend in site.backends.items():
            if server in ("all", name):
                backend.turn_cold(backend.boot_id + "+")
        return b"{}"

    @app.route("/data-centre/<name>/<state>", methods=["POST"])
    def data_centre(request: Request, name: str, state: str) -> bytes:
        data_centres = dict(site.config.data_centres)
        data_centres[name] = replace(data_centres[name], in_service=state == "in")
        site.publish(replace(site.config, data_centres=data_centres))
        return b"{}"

    @app.route("/index/<version>", methods=["POST"])
    def index(request: Request, version: str) -> bytes:
        site.publish(replace(site.config, index_version=version))
        return b"{}"

    @app.route("/platform/<state>", methods=["POST"])
    def platform(request: Request, state: str) -> bytes:
        site.platform.down = state == "down"
        return b"{}"

    @app.route("/stats")
    def stats(request: Request) -> bytes:
        return msgspec.json.encode(
            {name: backend.stats for name, backend in site.backends.items()}
        )

    return app.resource()
