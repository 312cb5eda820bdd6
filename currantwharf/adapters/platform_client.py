"""HTTP client for the platform: its configuration service and its instance list.

The client never writes. A watch is a long poll: one call that returns when a newer
version exists or its wait time has passed.
"""

from typing import Any

import msgspec
import treq

from currantwharf.adapters.http_pool import make_agent
from currantwharf.adapters.http_status_error import HttpStatusError
from currantwharf.fleet import InstanceList

MAX_IDLE_CONNECTIONS = 2  # one for each of the two watches
WATCH_TIMEOUT_MARGIN_S = 1.0  # added to the wait time of a watch


class PlatformClient:
    """Client for the two values that the platform publishes, over HTTP with JSON."""

    def __init__(self, reactor: Any, address: str) -> None:
        self._agent = make_agent(reactor, MAX_IDLE_CONNECTIONS)
        self._address = address

    async def watch_config(self, after: int, wait_s: float) -> tuple[int, bytes] | None:
        """Return the version and document of a configuration newer than `after`.

        The result is None when none was published within `wait_s` seconds.
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
        """Return an instance list newer than `after`, or None after `wait_s`."""
        body = await self._watch("instances", after, wait_s)
        if body is None:
            return None
        return msgspec.json.decode(body, type=InstanceList)

    async def _watch(self, name: str, after: int, wait_s: float) -> bytes | None:
        response = await treq.get(
            f"http://{self._address}/v1/{name}",
            params={"after": str(after), "wait_s": str(wait_s)},
            agent=self._agent,
            timeout=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        body: bytes = await treq.content(response)
        if response.code == 204:
            return None
        if response.code != 200:
            raise HttpStatusError(response.code)
        return body
