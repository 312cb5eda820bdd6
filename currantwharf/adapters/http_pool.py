"""A pool of HTTP connections that never retries a request by itself."""

from typing import Any

from twisted.web.client import Agent, HTTPConnectionPool

from currantwharf.adapters.bounded_endpoint import BoundedEndpointFactory

IDLE_TIMEOUT_S = 30  # after which the pool closes an idle connection
CONNECT_TIMEOUT_S = 1.0


def make_agent(reactor: Any, max_idle_connections: int) -> Any:
    """Return an agent that keeps up to `max_idle_connections` open to each host.

    With 0 it opens a new connection for each call. A response without end is cut off.
    """
    pool = HTTPConnectionPool(reactor, persistent=max_idle_connections > 0)
    pool.maxPersistentPerHost = max_idle_connections
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    # The caller decides on retries; a retry here would add a second layer of them.
    pool.retryAutomatically = False
    endpoints = BoundedEndpointFactory(reactor, CONNECT_TIMEOUT_S)
    return Agent.usingEndpointFactory(reactor, endpoints, pool=pool)
