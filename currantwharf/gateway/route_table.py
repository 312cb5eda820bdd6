"""Find the route of a request."""

from collections.abc import Iterable

from currantwharf.gateway.route import Route


class RouteTable:
    """Find the route of a host with the longest prefix that begins a path.

    Prefixes end with a slash, so the prefixes of a path are cut at its slashes and
    looked up: the cost grows with the depth of the path, not with the routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = {(route.host, route.prefix): route for route in routes}

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of a request, or None."""
        host = host.lower()
        end = path.rfind(b"/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None
