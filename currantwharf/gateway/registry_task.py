"""Keep the registry up to date from the platform's store."""

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.metadata_store import MetadataStore, StoreFailure
from currantwharf.gateway.registry import Registry
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.part_log import part_log

WATCH_S = 20.0  # seconds that a watch waits; below the 30 s that a store allows
PACE_S = 0.7  # seconds between two watches; changes meanwhile come in one answer
FIRST_WAIT_S = 0.1  # seconds before a call is made again after a failure
LONGEST_WAIT_S = 0.8  # seconds; a store that is back is read well within a second

log = part_log("registry")


class RegistryTask:
    """Read everything once, then watch; begin anew when the history is lost.

    `on_news` hears each change that was news, from whatever source.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: MetadataStore,
        registry: Registry,
        on_news: Callable[[list[RevisedChange]], None],
        rng: random.Random,
    ) -> None:
        self.heard_at = -1e9
        self.is_store_up = False
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._registry = registry
        self._on_news = on_news
        self._rng = rng
        self._failures = 0
        self._may_be_stale = True

    def start(self) -> None:
        """Begin to read."""
        ensureDeferred(self._run())

    async def _run(self) -> None:
        after: int | None = None
        while True:
            if after is None:
                after = await self._read_all()
            else:
                after = await self._watch(after)

    async def _read_all(self) -> int | None:
        found = await self._store.read_all(self._may_be_stale)
        if isinstance(found, StoreFailure):
            await self._note_failure(found)
            return None
        assert isinstance(found, StoreSnapshot)
        self._may_be_stale = False
        self._note_answer()
        now = self._clock.now()
        self._on_news(self._registry.take_snapshot(found, now))
        return found.revision

    async def _watch(self, after: int) -> int | None:
        found = await self._store.watch(after, WATCH_S)
        if found is StoreFailure.HISTORY_LOST:
            log.warning("the store's history is lost", extra={"after": after})
            return None
        if isinstance(found, StoreFailure):
            await self._note_failure(found)
            return after
        assert isinstance(found, StoreEvents)
        self._note_answer()
        now = self._clock.now()
        news = [c for c in found.changes if self._registry.take(c, now)]
        self._registry.revision = max(self._registry.revision, found.revision)
        if news:
            self._on_news(news)
        if found.changes:
            await self._wait(PACE_S)
        return found.revision

    def _note_answer(self) -> None:
        now = self._clock.now()
        self.heard_at = now
        self._failures = 0
        if not self.is_store_up:
            self.is_store_up = True
            self._registry.returned_at = now
            log.info("the store answers")

    async def _note_failure(self, failure: StoreFailure) -> None:
        if self.is_store_up:
            self.is_store_up = False
            log.warning("the store does not answer", extra={"why": failure.value})
        wait_s = min(FIRST_WAIT_S * 2**self._failures, LONGEST_WAIT_S)
        self._failures = min(self._failures + 1, 8)
        await self._wait(wait_s * self._rng.uniform(0.5, 1.0))

    def _wait(self, seconds: float) -> "Deferred[None]":
        waited: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, waited.callback, None)
        return waited
