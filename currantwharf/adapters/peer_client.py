"""The peer interface, seen from the calling instance."""

from typing import Any

import msgspec
import treq

from currantwharf.adapters.http_pool import make_agent
from currantwharf.adapters.json_post import post_json
from currantwharf.adapters.peer_error import PeerError
from currantwharf.fleet import InstanceList
from currantwharf.wire import MemberUpdate, Reply, decode_reply

CONNECTIONS = 4  # idle connections kept to each peer
CALL_S = 1.0  # seconds for one call; a peer that takes longer is suspected


class PeerClient:
    """Call other instances over HTTP with JSON."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._agent = make_agent(reactor, CONNECTIONS)

    async def post(self, address: str, envelope: bytes) -> Reply:
        """Deliver an envelope and return the peer's reply."""
        url = f"http://{address}/peer/messages".encode()
        answer = await post_json(self._agent, self._reactor, url, envelope, CALL_S)
        if answer.status != 200:
            raise PeerError(answer.status)
        return decode_reply(answer.body)

    async def get_config(self, address: str) -> tuple[int, bytes]:
        """Return the version and the document of a peer's configuration."""
        response = await self._get(address, "/peer/config")
        body = await _body_of(response)
        (version,) = response.headers.getRawHeaders("config-version", ["0"])
        return int(version), body

    async def get_instance_list(self, address: str) -> InstanceList:
        """Return the instance list that a peer holds."""
        body = await _body_of(await self._get(address, "/peer/instances"))
        return msgspec.json.decode(body, type=InstanceList)

    async def get_members(self, address: str) -> tuple[MemberUpdate, ...]:
        """Return all that a peer believes of the fleet."""
        body = await _body_of(await self._get(address, "/peer/members"))
        return msgspec.json.decode(body, type=tuple[MemberUpdate, ...])

    async def _get(self, address: str, path: str) -> Any:
        return await treq.get(
            f"http://{address}{path}", agent=self._agent, timeout=CALL_S
        )


async def _body_of(response: Any) -> bytes:
    body: bytes = await treq.content(response)
    if response.code != 200:
        raise PeerError(response.code)
    return body
