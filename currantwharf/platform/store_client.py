"""The client of the platform's store; it only reads."""

from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.metadata_store import StoreFailure
from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpResponse,
    encode_request,
)
from currantwharf.platform.address import Address
from currantwharf.platform.decode_store import decode_item
from currantwharf.platform.names import RANGE_PATH, WATCH_PATH
from currantwharf.platform.store_documents import (
    ItemDocument,
    RangeDocument,
    WatchDocument,
)
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger

READ_TIMEOUT_S = 2.0  # seconds; a slow store takes 60 times its usual 4 ms
WATCH_SLACK_S = 2.0  # seconds beyond a watch's wait before it counts as cut
MAX_CONNECTIONS = 3  # a watch and two reads

FAILURE_BY_STATUS = {
    410: StoreFailure.HISTORY_LOST,
    429: StoreFailure.BUSY,
    503: StoreFailure.UNAVAILABLE,
}

log = component_logger("store")


class StoreClient:
    """Read ranges and watch all keys of the store."""

    def __init__(self, reactor: Any, clock: Clock, address: Address) -> None:
        self._watching: Exchange | None = None
        self._reactor = reactor
        self._clock = clock
        self._host = b"%s:%d" % (address[0].encode(), address[1])
        self._pool = ConnectionPool(reactor, clock.now, address, MAX_CONNECTIONS)

    def read_all(self, may_be_stale: bool) -> "Deferred[StoreSnapshot | StoreFailure]":
        """Return all that is published; stale reads cost a tenth."""
        return ensureDeferred(self._read_all(may_be_stale))

    def watch(
        self, after: int, wait_s: float
    ) -> "Deferred[StoreEvents | StoreFailure]":
        """Return what changed after a revision, or nothing after `wait_s` seconds."""
        return ensureDeferred(self._watch(after, wait_s))

    def cancel_watch(self) -> None:
        """End the watch that waits; it fails as silent."""
        if self._watching is not None:
            self._pool.cancel(self._watching, ConnectionFailure.TIMED_OUT)

    async def _read_all(self, may_be_stale: bool) -> StoreSnapshot | StoreFailure:
        changes: list[RevisedChange] = []
        revision: int | None = None
        last_key = ""
        while True:
            query: dict[str, Any] = {"prefix": "", "allow-stale": int(may_be_stale)}
            if last_key:
                query["after"] = last_key
            page = await self._call(RANGE_PATH, query, READ_TIMEOUT_S, RangeDocument)
            if isinstance(page, StoreFailure):
                return page
            changes.extend(_decode_items(page.items))
            # Pages are not a snapshot: what changes meanwhile is in the watch.
            first = revision is None
            revision = (
                page.store_revision if first else min(revision, page.store_revision)
            )
            if not page.truncated or not page.items:
                return StoreSnapshot(tuple(changes), revision)
            last_key = page.items[-1].key

    async def _watch(self, after: int, wait_s: float) -> StoreEvents | StoreFailure:
        query = {"prefix": "", "after": after, "wait-ms": int(wait_s * 1000)}
        timeout_s = wait_s + WATCH_SLACK_S
        found = await self._call(WATCH_PATH, query, timeout_s, WatchDocument)
        if isinstance(found, StoreFailure):
            return found
        return StoreEvents(
            tuple(_decode_items(found.events)), after, found.store_revision
        )

    async def _call(
        self, path: str, query: dict[str, Any], timeout_s: float, shape: type
    ) -> Any:
        """Return the decoded answer to one call, or a failure."""
        target = f"{path}?{urlencode(query)}".encode()
        answer = await self._get(target, timeout_s)
        if isinstance(answer, ConnectionFailure):
            late = answer is ConnectionFailure.TIMED_OUT
            return StoreFailure.SILENT if late else StoreFailure.UNAVAILABLE
        if answer.status != 200:
            return FAILURE_BY_STATUS.get(answer.status, StoreFailure.UNAVAILABLE)
        try:
            return msgspec.json.decode(answer.body, type=shape)
        except msgspec.DecodeError as exc:
            log.warning("answer unreadable", extra={"path": path, "why": str(exc)})
            return StoreFailure.UNREADABLE

    def _get(
        self, target: bytes, timeout_s: float
    ) -> "Deferred[HttpResponse | ConnectionFailure]":
        done: Deferred[HttpResponse | ConnectionFailure] = Deferred()
        data = encode_request(b"GET", target, [(b"host", self._host)])
        deadline = self._clock.now() + timeout_s
        exchange = Exchange(
            lambda now: data, lambda answer: True, deadline, False, done.callback
        )
        if target.startswith(WATCH_PATH.encode()):
            self._watching = exchange
        self._pool.send(exchange)
        cancel: Callable[[], None] = lambda: self._pool.cancel(  # noqa: E731
            exchange, ConnectionFailure.TIMED_OUT
        )
        timer = self._reactor.callLater(timeout_s, cancel)

        def stop_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()
            return result

        return done.addBoth(stop_timer)


def _decode_items(items: list[ItemDocument]) -> list[RevisedChange]:
    return [change for item in items if (change := decode_item(item)) is not None]
