"""Keep the registry up to date from the platform's store."""

import random
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.metadata_store import MetadataStore, StoreFailure
from currantwharf.gateway.registry import Registry
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger

WATCH_WAIT_S = 20.0  # seconds that a watch waits; below the 30 s that a store allows
PACE_S = 0.7  # seconds between two watches; changes meanwhile come in one answer
READER_CHECK_S = 0.25  # seconds between two looks at who reads the store
DOUBT_S = 3.0  # seconds after a failure in which another instance had better read
DEAF_S = 0.8  # seconds that a watch may be behind the changes that others know of
SPOT_CHECK_S = 1.2  # seconds between two spot checks of the fleet; a third of what a
# configuration may take to be in force
ALERT_CHECK_S = 0.25  # seconds between two while the store fails any instance; with a
# third of the instances turned away one gap in 3,000 is longer than 3 s
SPOT_LOOKS = 3  # times in a check's period that an instance decides whether it checks
FIRST_WAIT_S = 0.1  # seconds before a call is made again after a failure
LONGEST_WAIT_S = 0.8  # seconds; a store that is back is read well within a second

log = component_logger("registry")


class RegistryTask:
    """Read everything once, then watch if this instance is the one to do so.

    `is_reader` tells whether it is; the others hear of changes from it. A watch goes
    on from what the registry knows, wherever that came from, and everything is read
    anew when the store's history does not reach back so far. `on_news` hears the
    changes that were news, `on_doubt` that another instance had better read.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: MetadataStore,
        registry: Registry,
        is_reader: Callable[[], bool],
        on_news: Callable[[list[RevisedChange]], None],
        on_doubt: Callable[[], None],
        fleet_size: Callable[[], int],
        is_alert: Callable[[], bool],
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
        self._on_doubt = on_doubt
        self._fleet_size = fleet_size
        self._is_alert = is_alert
        self._watched_from = 0
        self._rng = rng
        self._failures = 0
        self._doubt_until = -1e9
        self._may_be_stale = True
        self._is_watching = False
        self._lagging_since: float | None = None

    def start(self) -> None:
        """Begin to read."""
        self._keep_running(self._run)
        self._keep_running(self._run_spot_checks)

    def _keep_running(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a loop that never ends, and begin it anew if a fault ends it."""

        def begin_anew(failure: Failure) -> None:
            log.error("reading failed", extra={"why": failure.getErrorMessage()})
            self._reactor.callLater(LONGEST_WAIT_S, self._keep_running, run)

        ensureDeferred(run()).addErrback(begin_anew)

    def note_newest(self, revision: int) -> None:
        """Compare a watch with the newest revision that peers have told of.

        A watch that brings nothing while others hear of changes has gone deaf: it is
        given up, and another instance reads for a while.
        """
        now = self._clock.now()
        if not self._is_watching or self._watched_from >= revision:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = now
        elif now - self._lagging_since > DEAF_S:
            self._lagging_since = None
            log.warning("the watch brings nothing", extra={"newest": revision})
            self._doubt(now)
            self._store.cancel_watch()

    @property
    def can_read(self) -> bool:
        """Whether the store is worth a try: it answers, or has not failed just now."""
        return self._clock.now() >= self._doubt_until

    async def _run(self) -> None:
        needs_all = not self._registry.is_known
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
        self._on_news(self._registry.apply_snapshot(found, self._clock.now()))
        return True

    async def _watch(self) -> bool:
        """Watch once; return whether the store's history reached back so far."""
        after = self._watched_from = self._registry.revision
        self._is_watching = True
        found = await self._store.watch(after, WATCH_WAIT_S)
        self._is_watching = False
        if found is StoreFailure.HISTORY_LOST:
            log.warning("the store's history is lost", extra={"after": after})
            return False
        if isinstance(found, StoreFailure):
            await self._note_failure(found)
            return True
        assert isinstance(found, StoreEvents)
        self._note_answer()
        news = self._registry.apply_events(found, self._clock.now())
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
        self._doubt(self._clock.now())
        wait_s = min(FIRST_WAIT_S * 2**self._failures, LONGEST_WAIT_S)
        self._failures = min(self._failures + 1, 8)
        await self._wait(wait_s * self._rng.uniform(0.5, 1.0))

    async def _run_spot_checks(self) -> None:
        """Ask now and then whether there is anything that the readers did not hear.

        All instances together make one such call in `SPOT_CHECK_S` seconds, and more
        while the store fails any of them: then every watch may have gone deaf.
        """
        while True:
            await self._wait(self._rng.expovariate(SPOT_LOOKS / SPOT_CHECK_S))
            share = 1 / (SPOT_LOOKS * self._fleet_size())
            if self._is_alert():
                share *= SPOT_CHECK_S / ALERT_CHECK_S
            if self._rng.random() > share:
                continue
            if self._is_watching or not self._registry.is_known:
                continue
            found = await self._store.watch(self._registry.revision, 0.0)
            if not isinstance(found, StoreEvents):
                log.info("spot check failed", extra={"why": found})
                self._doubt(self._clock.now())
                continue
            news = self._registry.apply_events(found, self._clock.now())
            if news:
                log.info("spot check found changes", extra={"count": len(news)})
                self._on_news(news)

    def _doubt(self, now: float) -> None:
        """Let another instance read for a while."""
        was_able = self.can_read
        self._doubt_until = now + DOUBT_S
        if was_able:
            self._on_doubt()

    def _wait(self, seconds: float) -> "Deferred[None]":
        waited: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, waited.callback, None)
        return waited
