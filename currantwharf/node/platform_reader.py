"""Watches the platform for a new configuration or a new instance list.

Only a few instances of each data centre watch; the others learn from their peers.
"""

import random
from typing import Any, Protocol

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from currantwharf.fleet import READERS_PER_DATA_CENTRE, InstanceList, is_reader
from currantwharf.node.interfaces import PlatformCalls

WATCH_WAIT_S = 2.0  # of one watch call; bounds how long a dead one goes unnoticed
READER_CHECK_INTERVAL_S = 1.0  # between a non-reader's checks of its role
RETRY_DELAY_S = 0.5  # after a failed call to the platform


class PlatformListener(Protocol):
    """The holder of the values that the platform publishes."""

    def get_known_versions(self) -> tuple[int, int]:
        """Return the newest known versions of configuration and instance list."""

    def list_local_peers(self, usable: bool) -> list[str]:
        """Return the other instances of this data centre, or only the usable ones."""

    def adopt_config(self, version: int, document: bytes) -> None:
        """Adopt a configuration if it is newer and valid."""

    def adopt_list(self, listed: InstanceList) -> None:
        """Adopt an instance list if it is newer."""

    def is_stopped(self) -> bool:
        """Return whether the instance has stopped."""


class PlatformReader:
    """Watches the configuration and the instance list on the platform.

    The readers of a data centre watch all the time. Any other instance makes an
    occasional spot check.
    """

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
        """Start to watch."""
        for read in (self._read_config, self._read_list):
            ensureDeferred(self._watch(read))

    async def read_once(self) -> bool:
        """Read both values without a wait; return whether the platform answered."""
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
                await deferLater(self._reactor, READER_CHECK_INTERVAL_S, lambda: None)
                if self._rng.random() >= self._spot_check_probability():
                    continue
            try:
                await read(WATCH_WAIT_S if is_reader else 0)
            except Exception:
                self.failures += 1
                await deferLater(self._reactor, RETRY_DELAY_S, lambda: None)

    def _spot_check_probability(self) -> float:
        """Return the probability of a spot check at each role check.

        The spot checks guard against readers that are cut off from the platform.
        Together, the non-readers of a data centre check each value once a second,
        however many they are.
        """
        peers = self._listener.list_local_peers(usable=False)
        return 1 / max(1, len(peers) + 1 - READERS_PER_DATA_CENTRE)

    def _is_reader(self) -> bool:
        return is_reader(self._name, self._listener.list_local_peers(usable=True))

    async def _read_config(self, wait_s: float) -> None:
        self.calls += 1
        after, _ = self._listener.get_known_versions()
        published = await self._platform.watch_config(after, wait_s)
        if published is not None:
            self._listener.adopt_config(*published)

    async def _read_list(self, wait_s: float) -> None:
        self.calls += 1
        _, after = self._listener.get_known_versions()
        published = await self._platform.watch_instance_list(after, wait_s)
        if published is not None:
            self._listener.adopt_list(published)
