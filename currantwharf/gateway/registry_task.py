"""The task that keeps the registry up to date from the platform's store."""

import random
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from currantwharf.gateway.change_source import ChangeSource
from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.metadata_store import MetadataStore, StoreFailure
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.spot_check_schedule import SpotCheckSchedule
from currantwharf.gateway.store_position import StorePosition
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger

WATCH_WAIT_S = 20.0  # long-poll duration of a watch; the store allows up to 30 s
WATCH_INTERVAL_S = 0.7  # pause after changes, so that the next ones come in one answer
READER_CHECK_INTERVAL_S = 0.25  # interval of checks whether this is the reader
READER_BACKOFF_S = 3.0  # time after a failure for another instance to read
# A watch whose revision stays behind that of peers for longer than this is cancelled.
MAX_WATCH_LAG_S = 0.8
# Mean interval between the spot checks of the whole fleet: a third of the time within
# which a new configuration must be in force.
SPOT_CHECK_INTERVAL_S = 1.2
# The same while the store fails any instance. With a third of the instances refused by
# the store, one gap in 3,000 is longer than 3 s.
ALERT_SPOT_CHECK_INTERVAL_S = 0.25
SPOT_CHECK_TICK_S = 0.125  # between two looks at whether a spot check is due
MIN_CHECK_INTERVAL_S = 0.5  # of an instance's requested checks
# A hundredth and less of the reads that the store allows.
MAX_REQUESTED_CHECKS_PER_S = 20.0
MIN_RETRY_DELAY_S = 0.1  # first delay of the exponential backoff after a failure
MAX_RETRY_DOUBLINGS = 8
MAX_REREAD_DELAY_S = 3.0  # between whole reads after which a watch fails alike
MAX_RETRY_DELAY_S = 0.8  # keeps the first read after an outage well within a second

log = component_logger("registry")


class RegistryTask:
    """Read a snapshot once, then watch the store while this instance is the reader.

    The first snapshot may be stale, so a configuration in it is confirmed by a watch
    that does not wait.
    `is_reader` returns whether it is; the other instances get changes from the reader.
    A watch starts at the registry's revision, whether that came from the store or from
    a peer. If the store no longer holds the history since then, a new snapshot is
    read. `on_changes` is called with the changes that updated the registry,
    `on_backoff` when another instance should read in place of this one.
    `get_fleet_size` returns the number of instances, and `has_recent_store_failure`
    whether the store has lately failed any of them. `last_answer_at` is when the store
    last answered, a reading of the monotonic clock in seconds.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        store: MetadataStore,
        registry: Registry,
        is_reader: Callable[[], bool],
        on_changes: Callable[[list[RevisedChange], ChangeSource], None],
        on_backoff: Callable[[], None],
        get_fleet_size: Callable[[], int],
        has_recent_store_failure: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self.last_answer_at = -1e9
        self.is_store_up = False
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._registry = registry
        self._is_reader = is_reader
        self._on_changes = on_changes
        self._on_backoff = on_backoff
        self._get_fleet_size = get_fleet_size
        self._has_recent_store_failure = has_recent_store_failure
        self._watched_after = 0
        self._rng = rng
        self._failures = 0
        self._reads_without_watch = 0
        self._backoff_until = -1e9
        self._may_be_stale = True
        self._needs_snapshot = False
        self._is_overtaken = False
        self._is_watching = False
        self._lagging_since: float | None = None
        self._next_requested_check_at = -1e9

    def start(self) -> None:
        """Start the reading loop and the spot checks."""
        self._run_forever(self._run)
        self._run_forever(self._run_spot_checks)

    def _run_forever(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run an endless loop, and restart it if an exception ends it."""

        def restart(failure: Failure) -> None:
            log.error(
                "store reading task failed; restarting it",
                extra={"why": failure.getErrorMessage()},
            )
            self._reactor.callLater(MAX_RETRY_DELAY_S, self._run_forever, run)

        ensureDeferred(run()).addErrback(restart)

    def check_watch_lag(self, newest: StorePosition) -> None:
        """Cancel a watch that lags behind the newest position known.

        `newest` is the newest position that a peer has reported. A watch that returns
        nothing while peers or spot checks find changes no longer delivers events,
        though its connection is open. It is cancelled, and another instance reads for
        a while.
        """
        now = self._clock.now()
        newest = max(newest, self._registry.position)
        watched = StorePosition(self._registry.era, self._watched_after)
        if not self._is_watching or watched >= newest:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = now
        elif now - self._lagging_since > MAX_WATCH_LAG_S:
            self._lagging_since = None
            log.warning("the watch brings nothing", extra={"newest": newest.revision})
            self._back_off(now)
            self._store.cancel_watch()

    @property
    def can_read(self) -> bool:
        """Whether this instance may read: the store has not failed it recently."""
        return self._clock.now() >= self._backoff_until

    async def _run(self) -> None:
        self._needs_snapshot = not self._registry.has_config
        while True:
            if self._needs_snapshot:
                self._needs_snapshot = not await self._read_all()
            elif self._registry.has_config and not self._registry.is_confirmed:
                await self._watch(0.0)
            elif self._is_reader():
                await self._watch(WATCH_WAIT_S)
            else:
                await self._wait(READER_CHECK_INTERVAL_S)

    async def _read_all(self) -> bool:
        """Read a snapshot; return whether no snapshot is needed any more.

        A read that does not bring a watch back to work is repeated at growing
        intervals.
        """
        if self._reads_without_watch:
            doublings = min(self._reads_without_watch - 1, MAX_RETRY_DOUBLINGS)
            delay_s = min(MIN_RETRY_DELAY_S * 2**doublings, MAX_REREAD_DELAY_S)
            await self._wait(delay_s * self._rng.uniform(0.5, 1.0))
        self._reads_without_watch += not self._may_be_stale
        position = self._registry.position
        result = await self._store.read_all(self._may_be_stale)
        if isinstance(result, StoreFailure):
            await self._on_store_failure(result)
            # A peer may have sent the configuration and the servers meanwhile.
            return self._registry.has_config and not self._is_reader()
        assert isinstance(result, StoreSnapshot)
        is_current, self._may_be_stale = not self._may_be_stale, False
        self._on_store_answer()
        now = self._clock.now()
        if (
            is_current
            and result.era == position.era == self._registry.era
            and result.revision < position.revision
        ):
            # What is known can't come from this store: its revision only rises.
            log.warning("the store's revision went back", extra={"known": position})
            self._registry.restart(result.era, now)
        changes = self._registry.apply_snapshot(result, now)
        source = ChangeSource.READ if is_current else ChangeSource.STALE_READ
        log.info(
            "read the whole store",
            extra={
                "revision": result.revision,
                "era": result.era,
                "source": source.value,
            },
        )
        self._on_changes(changes, source)
        if is_current:
            self._confirm(result)
        if self._is_overtaken:
            self._is_overtaken = False
            await self._wait(WATCH_INTERVAL_S)
        return True

    async def _watch(self, wait_s: float) -> None:
        """Watch once; ask for a snapshot if the store has lost the history."""
        after = self._watched_after = self._registry.revision
        self._is_watching = True
        result = await self._store.watch(after, wait_s)
        self._is_watching = False
        if result is StoreFailure.HISTORY_LOST:
            log.warning("the store's history is lost", extra={"after": after})
            self._needs_snapshot = True
            return
        if result is StoreFailure.TOO_MANY_CHANGES:
            self._needs_snapshot = True
            self._on_overtaken(after)
            return
        if isinstance(result, StoreFailure):
            await self._on_store_failure(result)
            return
        assert isinstance(result, StoreEvents)
        self._on_store_answer()
        if result.era != self._registry.era:
            await self._on_other_era(result)
            return
        self._reads_without_watch = 0
        changes = self._registry.apply_events(result, self._clock.now())
        if changes:
            self._on_changes(changes, ChangeSource.WATCH)
        self._confirm(result)
        if result.changes:
            await self._wait(WATCH_INTERVAL_S)
        elif not wait_s:
            # Time to hear from peers which of them is the reader.
            await self._wait(READER_CHECK_INTERVAL_S)

    def _on_overtaken(self, after: int) -> None:
        """Prepare to read the whole store, as changes come faster than they are read.

        A snapshot has the newest configuration only, and the pause after it lets the
        next ones gather.
        """
        log.info("too many changes; reading the whole store", extra={"after": after})
        self._on_store_answer()
        self._reads_without_watch = 0
        self._may_be_stale = False
        self._is_overtaken = True

    async def _on_other_era(self, result: StoreEvents) -> None:
        """Ask for a snapshot if the store was restored since the watch's revision.

        An answer of an earlier era was on its way while a peer told of the later one.
        """
        if result.era > self._registry.era:
            self._needs_snapshot = True
        else:
            await self._wait(MIN_RETRY_DELAY_S)

    def _confirm(self, result: StoreEvents | StoreSnapshot) -> None:
        """Record that nothing is missing up to the revision of an answer just got."""
        if result.era == self._registry.era:
            self._registry.confirm(result.revision, self._clock.now())

    def _on_store_answer(self) -> None:
        now = self._clock.now()
        self.last_answer_at = now
        self._backoff_until = now
        self._failures = 0
        if not self.is_store_up:
            self.is_store_up = True
            self._registry.store_returned_at = now
            log.info("the store answers")

    async def _on_store_failure(self, failure: StoreFailure) -> None:
        if self.is_store_up:
            self.is_store_up = False
            log.warning("the store does not answer", extra={"why": failure.value})
        self._back_off(self._clock.now())
        wait_s = min(MIN_RETRY_DELAY_S * 2**self._failures, MAX_RETRY_DELAY_S)
        self._failures = min(self._failures + 1, MAX_RETRY_DOUBLINGS)
        await self._wait(wait_s * self._rng.uniform(0.5, 1.0))

    async def _run_spot_checks(self) -> None:
        """Poll the store from time to time for changes that the watches have missed.

        All instances together make one such call in `SPOT_CHECK_INTERVAL_S` seconds.
        They make more while the store fails any of them, because then every watch may
        have stopped delivering changes. Instances that watch poll too: where each is
        the only one of its data centre, nobody else does.
        """
        schedule = SpotCheckSchedule(self._rng, self._clock.now())
        while True:
            await self._wait(SPOT_CHECK_TICK_S)
            interval_s = (
                ALERT_SPOT_CHECK_INTERVAL_S
                if self._has_recent_store_failure()
                else SPOT_CHECK_INTERVAL_S
            )
            if (
                schedule.is_due(self._get_fleet_size(), interval_s, self._clock.now())
                and self._registry.has_config
            ):
                await self._check()

    def request_check(self) -> None:
        """Poll the store now, unless that was done a moment ago.

        The polls of the whole fleet are bounded by `MAX_REQUESTED_CHECKS_PER_S`.
        """
        now = self._clock.now()
        if now < self._next_requested_check_at:
            return
        interval_s = self._get_fleet_size() / MAX_REQUESTED_CHECKS_PER_S
        self._next_requested_check_at = now + max(MIN_CHECK_INTERVAL_S, interval_s)
        ensureDeferred(self._check()).addErrback(
            lambda failure: log.error(
                "requested check failed", extra={"why": failure.getErrorMessage()}
            )
        )

    async def _check(self) -> None:
        """Poll the store for changes that the watches have missed."""
        after = self._registry.revision
        result = await self._store.watch(after, 0.0)
        if result is StoreFailure.TOO_MANY_CHANGES:
            self._on_overtaken(after)
            await self._read_all()
            return
        if not isinstance(result, StoreEvents):
            log.info("spot check failed", extra={"why": result})
            self._needs_snapshot |= result is StoreFailure.HISTORY_LOST
            self._back_off(self._clock.now())
            return
        if result.era != self._registry.era:
            await self._on_other_era(result)
            return
        changes = self._registry.apply_events(result, self._clock.now())
        self._confirm(result)
        if changes:
            log.info("spot check found changes", extra={"count": len(changes)})
            self._on_changes(changes, ChangeSource.SPOT_CHECK)

    def _back_off(self, now: float) -> None:
        """Leave the reading to another instance for `READER_BACKOFF_S` seconds."""
        could_read = self.can_read
        self._backoff_until = now + READER_BACKOFF_S
        if could_read:
            self._on_backoff()

    def _wait(self, seconds: float) -> "Deferred[None]":
        waited: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, waited.callback, None)
        return waited
