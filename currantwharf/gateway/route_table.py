"""Lookup of the route of a request by host and path prefix."""

from collections.abc import Iterable

from currantwharf.gateway.route import Route


class RouteTable:
    """Longest-prefix matching of paths, by host.

    Prefixes end with a slash. A path is therefore cut at each of its slashes, from the
    longest prefix to the shortest, and each prefix is looked up in a hash table. The
    cost grows with the depth of the path, not with the number of routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._routes = {(route.host, route.prefix): route for route in routes}

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of a request, or None if no route matches."""
        host = host.lower()
        end = path.rfind(b"/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None
