"""The platform's interface: its configuration service and its instance list.

Everything is read; nothing is ever written. A watch is one waiting call that ends
when a higher version is there or its time has passed.
"""

from typing import Any

import msgspec
import treq

from currantwharf.adapters.http_pool import make_agent
from currantwharf.adapters.peer_error import PeerError
from currantwharf.fleet import InstanceList

CONNECTIONS = 2  # one for each watch
SLACK_S = 1.0  # seconds that a watch may outlast its own time


class PlatformClient:
    """Read and watch the platform's two published values over HTTP with JSON."""

    def __init__(self, reactor: Any, address: str) -> None:
        self._agent = make_agent(reactor, CONNECTIONS)
        self._address = address

    async def watch_config(self, after: int, wait_s: float) -> tuple[int, bytes] | None:
        """Return the version and document of a configuration newer than `after`.

        None means that none came within `wait_s` seconds.
        """
        body = await self._watch("config", after, wait_s)
        if body is None:
            return None
        value = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        version = msgspec.json.decode(value["version"], type=int)
        return version, bytes(value["value"])

    async def watch_instance_list(
        self, after: int, wait_s: float
    ) -> InstanceList | None:
        """Return an instance list newer than `after`, or None."""
        body = await self._watch("instances", after, wait_s)
        if body is None:
            return None
        return msgspec.json.decode(body, type=InstanceList)

    async def _watch(self, name: str, after: int, wait_s: float) -> bytes | None:
        response = await treq.get(
            f"http://{self._address}/v1/{name}",
            params={"after": str(after), "wait_s": str(wait_s)},
            agent=self._agent,
            timeout=wait_s + SLACK_S,
        )
        body: bytes = await treq.content(response)
        if response.code == 204:
            return None
        if response.code != 200:
            raise PeerError(response.code)
        return body
