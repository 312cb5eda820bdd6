"""A read-only client of the platform's store."""

from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec
from twisted.internet.defer import Deferred, ensureDeferred

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.metadata_store import StoreFailure
from currantwharf.gateway.store_position import NO_ERA
from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpResponse,
    ProgressTimeout,
    encode_request,
    parse_count,
)
from currantwharf.platform.address import Address
from currantwharf.platform.decode_store import decode_item
from currantwharf.platform.names import RANGE_PATH, STORE_ERA, WATCH_PATH
from currantwharf.platform.store_documents import (
    ItemDocument,
    RangeDocument,
    WatchDocument,
)
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger

READ_TIMEOUT_S = 2.0  # a slow store takes 60 times its usual 4 ms
WATCH_MARGIN_S = 2.0  # time beyond a watch's wait before it fails as timed out
SILENCE_S = 2.0  # between two bytes of an answer
MAX_TRANSFER_S = 6.0  # of an answer that arrives slowly, beyond its time-out
MAX_CONNECTIONS = 3  # one watch and two reads
MAX_PAGE_BYTES = 1_300_000  # of a range, which has "about 1 MB"
# An answer of fewer bytes and events is whole: the store cuts none that is smaller.
MIN_CUT_BYTES = 500_000
MIN_CUT_EVENTS = 250
BASE64_RATIO = 4 / 3
# A prefix of no key. The answer to a range of it is short, and has the newest revision.
NO_KEYS = "none/"
MAX_ERA = 2**31

FAILURE_BY_CONNECTION = {
    ConnectionFailure.TIMED_OUT: StoreFailure.SILENT,
    ConnectionFailure.TOO_LARGE: StoreFailure.TOO_MANY_CHANGES,
}
FAILURE_BY_STATUS = {
    410: StoreFailure.HISTORY_LOST,
    429: StoreFailure.BUSY,
    503: StoreFailure.UNAVAILABLE,
}

log = component_logger("store")


class StoreClient:
    """Reader of all keys of the store, by range reads and by watches.

    `max_value_bytes` is the size of the largest value that the store accepts. An answer
    may have a page, and a value that makes it longer; a watch whose changes are more
    than that is given up at its head, as reading the whole store is less.
    """

    def __init__(
        self, reactor: Any, clock: Clock, address: Address, max_value_bytes: int
    ) -> None:
        self._watch_exchange: Exchange | None = None
        self._reactor = reactor
        self._clock = clock
        self._host = b"%s:%d" % (address[0].encode(), address[1])
        self._pool = ConnectionPool(
            reactor,
            clock.now,
            address,
            MAX_CONNECTIONS,
            max_response_bytes=int(MAX_PAGE_BYTES + BASE64_RATIO * max_value_bytes),
        )

    def read_all(self, may_be_stale: bool) -> "Deferred[StoreSnapshot | StoreFailure]":
        """Return the content of the store as a snapshot.

        A read that may be stale costs the store a tenth of a current one.
        """
        return ensureDeferred(self._read_all(may_be_stale))

    def watch(
        self, after: int, wait_s: float
    ) -> "Deferred[StoreEvents | StoreFailure]":
        """Return the changes after a revision, or none if `wait_s` seconds pass."""
        return ensureDeferred(self._watch(after, wait_s))

    def cancel_watch(self) -> None:
        """Cancel the pending watch, which then fails as silent."""
        if self._watch_exchange is not None:
            self._pool.cancel(self._watch_exchange, ConnectionFailure.TIMED_OUT)

    async def _read_all(self, may_be_stale: bool) -> StoreSnapshot | StoreFailure:
        changes: list[RevisedChange] = []
        revision: int | None = None
        first_era = NO_ERA
        last_key = ""
        while True:
            query: dict[str, Any] = {"prefix": "", "allow-stale": int(may_be_stale)}
            if last_key:
                query["after"] = last_key
            answer = await self._call(RANGE_PATH, query, READ_TIMEOUT_S, RangeDocument)
            if isinstance(answer, StoreFailure):
                return answer
            page, era, _ = answer
            changes.extend(_decode_items(page.items))
            # The pages are of different revisions. A watch from the lowest of them
            # delivers the changes that were made between the reads.
            is_first = revision is None
            if is_first:
                first_era = era
            elif era != first_era:
                # The store was restored between two pages.
                return StoreFailure.HISTORY_LOST
            revision = (
                page.store_revision if is_first else min(revision, page.store_revision)
            )
            if not page.truncated or not page.items:
                return StoreSnapshot(tuple(changes), revision, era)
            last_key = page.items[-1].key

    async def _watch(self, after: int, wait_s: float) -> StoreEvents | StoreFailure:
        query = {"prefix": "", "after": after, "wait-ms": int(wait_s * 1000)}
        timeout_s = wait_s + WATCH_MARGIN_S
        answer = await self._call(
            WATCH_PATH, query, timeout_s, WatchDocument, is_waiting=wait_s > 0
        )
        if isinstance(answer, StoreFailure):
            return answer
        document, era, size = answer
        may_be_cut = size >= MIN_CUT_BYTES or len(document.events) >= MIN_CUT_EVENTS
        if may_be_cut and await self._has_changes_after(document.store_revision, era):
            return StoreFailure.TOO_MANY_CHANGES
        return StoreEvents(
            tuple(_decode_items(document.events)), after, document.store_revision, era
        )

    async def _has_changes_after(self, revision: int, era: int) -> bool:
        """Return whether the store is known to have changes after a revision."""
        query = {"prefix": NO_KEYS}
        answer = await self._call(RANGE_PATH, query, READ_TIMEOUT_S, RangeDocument)
        if isinstance(answer, StoreFailure):
            return False
        page, newest_era, _ = answer
        return bool(newest_era == era and page.store_revision > revision)

    async def _call(
        self,
        path: str,
        query: dict[str, Any],
        timeout_s: float,
        document_type: type,
        is_waiting: bool = False,
    ) -> Any:
        """Return the document of a GET request, its era and size, or a failure."""
        target = f"{path}?{urlencode(query)}".encode()
        response = await self._get(target, timeout_s, is_waiting)
        if isinstance(response, ConnectionFailure):
            return FAILURE_BY_CONNECTION.get(response, StoreFailure.UNAVAILABLE)
        if response.status != 200:
            return FAILURE_BY_STATUS.get(response.status, StoreFailure.UNAVAILABLE)
        try:
            document: Any = msgspec.json.decode(response.body, type=document_type)
        except DECODE_ERRORS as exc:
            log.warning(
                "response of the store cannot be decoded; treating it as a failure",
                extra={"path": path, "why": str(exc)},
            )
            return StoreFailure.UNREADABLE
        era = parse_count(response.get(STORE_ERA), MAX_ERA)
        return document, NO_ERA if era is None else era, len(response.body)

    def _get(
        self, target: bytes, timeout_s: float, is_waiting: bool
    ) -> "Deferred[HttpResponse | ConnectionFailure]":
        done: Deferred[HttpResponse | ConnectionFailure] = Deferred()
        data = encode_request(b"GET", target, [(b"host", self._host)])
        deadline = self._clock.now() + timeout_s + MAX_TRANSFER_S
        exchange = Exchange(
            lambda now: data, lambda response: True, deadline, False, done.callback
        )
        if is_waiting:
            self._watch_exchange = exchange
        self._pool.send(exchange)
        cancel: Callable[[], None] = lambda: self._pool.cancel(  # noqa: E731
            exchange, ConnectionFailure.TIMED_OUT
        )
        timeout = ProgressTimeout(
            self._reactor,
            exchange,
            timeout_s,
            SILENCE_S,
            timeout_s + MAX_TRANSFER_S,
            cancel,
        )

        def stop_timeout(result: Any) -> Any:
            timeout.stop()
            return result

        return done.addBoth(stop_timeout)


def _decode_items(items: list[ItemDocument]) -> list[RevisedChange]:
    return [change for item in items if (change := decode_item(item)) is not None]
