"""A pool of HTTP connections that never repeats a request by itself."""

from typing import Any

from twisted.web.client import Agent, HTTPConnectionPool

IDLE_S = 30  # seconds that an idle connection is kept
CONNECT_S = 1.0  # seconds that a new connection may take


def make_agent(reactor: Any, connections: int) -> Any:
    """Return an agent that keeps up to `connections` open to each host.

    With 0 it makes a new connection for each call.
    """
    pool = HTTPConnectionPool(reactor, persistent=connections > 0)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_S
    # A repeat below the decisions would be a retry in a second layer.
    pool.retryAutomatically = False
    return Agent(reactor, connectTimeout=CONNECT_S, pool=pool)
