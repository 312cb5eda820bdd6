"""The task that reads and watches the platform, if this instance is to do so."""

import random
from typing import Any, Protocol

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from currantwharf.fleet import READERS_PER_DATA_CENTRE, InstanceList, is_reader
from currantwharf.node.interfaces import PlatformCalls

WATCH_WAIT_S = 2.0  # seconds that one watch at the platform waits; bounds a silent one
READER_CHECK_S = 1.0  # seconds
RETRY_S = 0.5  # seconds after a failed call to the platform


class PlatformListener(Protocol):
    """Who holds what the platform publishes."""

    def held_versions(self) -> tuple[int, int]:
        """Return the newest known versions of the configuration and of the list."""

    def near_peers(self, usable: bool) -> list[str]:
        """Return the other instances of this data centre, or the usable ones."""

    def take_config(self, version: int, document: bytes) -> None:
        """Take a configuration that may be newer."""

    def adopt_list(self, listed: InstanceList) -> None:
        """Take an instance list that may be newer."""

    def is_stopped(self) -> bool:
        """Return whether the process is at its end."""


class PlatformReader:
    """Watch the platform's two values, as one of the readers of the data centre."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        platform: PlatformCalls,
        listener: PlatformListener,
        rng: random.Random,
    ) -> None:
        self.calls = 0
        self.failures = 0
        self._reactor = reactor
        self._name = name
        self._platform = platform
        self._listener = listener
        self._rng = rng

    def start(self) -> None:
        """Begin to watch."""
        for read in (self._read_config, self._read_list):
            ensureDeferred(self._watch(read))

    async def read_now(self) -> bool:
        """Read both values without waiting; return whether the platform answered."""
        try:
            await self._read_list(0)
            await self._read_config(0)
        except Exception:
            self.failures += 1
            return False
        return True

    async def _watch(self, read: Any) -> None:
        while not self._listener.is_stopped():
            is_reader = self._is_reader()
            if not is_reader:
                await deferLater(self._reactor, READER_CHECK_S, lambda: None)
                if self._rng.random() >= self._spot_check_share():
                    continue
            try:
                await read(WATCH_WAIT_S if is_reader else 0)
            except Exception:
                self.failures += 1
                await deferLater(self._reactor, RETRY_S, lambda: None)

    def _spot_check_share(self) -> float:
        """Return how often an instance that is no reader looks for itself.

        The readers may be the ones that are cut off from the platform. The others of a
        data centre make one call a second together, however many they are.
        """
        near = self._listener.near_peers(usable=False)
        return 1 / max(1, len(near) + 1 - READERS_PER_DATA_CENTRE)

    def _is_reader(self) -> bool:
        return is_reader(self._name, self._listener.near_peers(usable=True))

    async def _read_config(self, wait_s: float) -> None:
        self.calls += 1
        after, _ = self._listener.held_versions()
        found = await self._platform.watch_config(after, wait_s)
        if found is not None:
            self._listener.take_config(*found)

    async def _read_list(self, wait_s: float) -> None:
        self.calls += 1
        _, after = self._listener.held_versions()
        found = await self._platform.watch_instance_list(after, wait_s)
        if found is not None:
            self._listener.adopt_list(found)
