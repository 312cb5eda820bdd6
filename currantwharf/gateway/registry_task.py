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
READER_CHECK_S = 0.25  # seconds between two looks at who reads the store
DOUBT_S = 3.0  # seconds after a failure in which another instance had better read
FIRST_WAIT_S = 0.1  # seconds before a call is made again after a failure
LONGEST_WAIT_S = 0.8  # seconds; a store that is back is read well within a second

log = part_log("registry")


class RegistryTask:
    """Read everything once, then watch if this instance is the one to do so.

    `is_reader` tells whether it is; the others hear of changes from it. A watch goes
    on from what the registry knows, wherever that came from, and everything is read
    anew when the store's history does not reach back so far. `on_news` hears the
    changes that were news.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: MetadataStore,
        registry: Registry,
        is_reader: Callable[[], bool],
        on_news: Callable[[list[RevisedChange]], None],
        rng: random.Random,
    ) -> None:
        self.heard_at = -1e9
        self.is_store_up = False
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._registry = registry
        self._is_reader = is_reader
        self._on_news = on_news
        self._rng = rng
        self._failures = 0
        self._doubt_until = -1e9
        self._may_be_stale = True

    def start(self) -> None:
        """Begin to read."""
        ensureDeferred(self._run())

    @property
    def can_read(self) -> bool:
        """Whether the store is worth a try: it answers, or has not failed just now."""
        return self._clock.now() >= self._doubt_until

    async def _run(self) -> None:
        needs_all = True
        while True:
            if needs_all:
                needs_all = not await self._read_all()
            elif self._is_reader():
                needs_all = not await self._watch()
            else:
                await self._wait(READER_CHECK_S)

    async def _read_all(self) -> bool:
        """Read everything; return whether that is done."""
        found = await self._store.read_all(self._may_be_stale)
        if isinstance(found, StoreFailure):
            await self._note_failure(found)
            # Peers may have told everything meanwhile.
            return self._registry.is_known and not self._is_reader()
        assert isinstance(found, StoreSnapshot)
        self._may_be_stale = False
        self._note_answer()
        self._on_news(self._registry.take_snapshot(found, self._clock.now()))
        return True

    async def _watch(self) -> bool:
        """Watch once; return whether the store's history reached back so far."""
        after = self._registry.revision
        found = await self._store.watch(after, WATCH_S)
        if found is StoreFailure.HISTORY_LOST:
            log.warning("the store's history is lost", extra={"after": after})
            return False
        if isinstance(found, StoreFailure):
            await self._note_failure(found)
            return True
        assert isinstance(found, StoreEvents)
        self._note_answer()
        news = self._registry.take_events(found, self._clock.now())
        if news:
            self._on_news(news)
        if found.changes:
            await self._wait(PACE_S)
        return True

    def _note_answer(self) -> None:
        now = self._clock.now()
        self.heard_at = now
        self._doubt_until = now
        self._failures = 0
        if not self.is_store_up:
            self.is_store_up = True
            self._registry.returned_at = now
            log.info("the store answers")

    async def _note_failure(self, failure: StoreFailure) -> None:
        if self.is_store_up:
            self.is_store_up = False
            log.warning("the store does not answer", extra={"why": failure.value})
        self._doubt_until = self._clock.now() + DOUBT_S
        wait_s = min(FIRST_WAIT_S * 2**self._failures, LONGEST_WAIT_S)
        self._failures = min(self._failures + 1, 8)
        await self._wait(wait_s * self._rng.uniform(0.5, 1.0))

    def _wait(self, seconds: float) -> "Deferred[None]":
        waited: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, waited.callback, None)
        return waited
