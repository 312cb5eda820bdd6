"""Client side of the interface between instances."""

from typing import Any

import msgspec
import treq

from currantwharf.adapters.http_pool import make_agent
from currantwharf.adapters.http_status_error import HttpStatusError
from currantwharf.adapters.json_post import post_json
from currantwharf.fleet import InstanceList
from currantwharf.wire import MemberUpdate, Reply, decode_reply

MAX_IDLE_CONNECTIONS_PER_PEER = 4
CALL_TIMEOUT_S = 1.0  # a peer that takes longer is suspected to be down


class PeerClient:
    """Client for all other instances, over HTTP with JSON."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent = make_agent(reactor, MAX_IDLE_CONNECTIONS_PER_PEER)

    async def post(self, address: str, envelope: bytes) -> Reply:
        """Deliver an envelope and return the peer's reply."""
        url = f"http://{address}/peer/messages".encode()
        response = await post_json(
            self._agent, self._reactor, url, envelope, CALL_TIMEOUT_S
        )
        if response.status != 200:
            raise HttpStatusError(response.status)
        return decode_reply(response.body)

    async def get_config(self, address: str) -> tuple[int, bytes]:
        """Return the version and the document of a peer's configuration."""
        response = await self._get(address, "/peer/config")
        body = await _read_success_body(response)
        (version,) = response.headers.getRawHeaders("config-version", ["0"])
        return int(version), body

    async def get_instance_list(self, address: str) -> InstanceList:
        """Return a peer's instance list."""
        body = await _read_success_body(await self._get(address, "/peer/instances"))
        return msgspec.json.decode(body, type=InstanceList)

    async def get_members(self, address: str) -> tuple[MemberUpdate, ...]:
        """Return a peer's view of all members of the fleet."""
        body = await _read_success_body(await self._get(address, "/peer/members"))
        return msgspec.json.decode(body, type=tuple[MemberUpdate, ...])

    async def _get(self, address: str, path: str) -> Any:
        return await treq.get(
            f"http://{address}{path}", agent=self._agent, timeout=CALL_TIMEOUT_S
        )


async def _read_success_body(response: Any) -> bytes:
    body: bytes = await treq.content(response)
    if response.code != 200:
        raise HttpStatusError(response.code)
    return body
