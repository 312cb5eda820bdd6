"""The outgoing interfaces of an instance: to peers, the platform and backend servers.

An adapter for another wire format implements one of these protocols; no other code
has to change.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from currantwharf.config import BackendServer
from currantwharf.fleet import InstanceList
from currantwharf.owner import CallResult
from currantwharf.wire import Cancel, MemberUpdate, Reply, ShardRequest


class PeerCalls(Protocol):
    """Calls to other instances; each raises an exception when it gets no answer."""

    async def post(self, address: str, envelope: bytes) -> Reply:
        """Deliver an envelope and return the peer's reply."""

    async def get_config(self, address: str) -> tuple[int, bytes]:
        """Return the version and the document of a peer's configuration."""

    async def get_instance_list(self, address: str) -> InstanceList:
        """Return a peer's current instance list."""

    async def get_members(self, address: str) -> tuple[MemberUpdate, ...]:
        """Return a peer's state of every member of the fleet."""


class PlatformCalls(Protocol):
    """Calls to the platform; each raises an exception when the platform fails."""

    async def watch_config(self, after: int, wait_s: float) -> tuple[int, bytes] | None:
        """Return a configuration newer than `after`, or None after `wait_s`."""

    async def watch_instance_list(
        self, after: int, wait_s: float
    ) -> InstanceList | None:
        """Return an instance list newer than `after`, or None after `wait_s`."""


class BackendCalls(Protocol):
    """Calls to one backend server; a failure is a result, not an exception."""

    async def send_requests(self, requests: tuple[ShardRequest, ...]) -> CallResult:
        """Send shard requests in one call and return its result."""

    async def cancel(self, cancels: tuple[Cancel, ...]) -> None:
        """Ask the server to stop work on requests."""


@dataclass(frozen=True, slots=True)
class Interfaces:
    """The adapters that an instance runs with."""

    peers: PeerCalls
    platform: PlatformCalls
    make_backend: Callable[[BackendServer], BackendCalls]
