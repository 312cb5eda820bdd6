"""A stand-in of the platform's metadata store: ranges, watches and their faults.

Instances only read it; tests and the demo write, in the role of the operator.
"""

import base64
import json
from collections import deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from currantwharf.http1 import HttpRequest, Responder
from currantwharf.platform.names import RANGE_PATH, STORE_ERA, WATCH_PATH

ITEMS_PER_PAGE = 50


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of the store at a revision."""

    items: dict[str, dict[str, Any]]
    revision: int


class MetadataStoreStandIn:
    """A key-value store with one revision counter and a history of its changes.

    `calls` counts the HTTP requests. `fault` is the HTTP status that each call gets
    instead of an answer, or `silent` for a store that never answers. `era` counts the
    restores from a copy, and all answers name it. The last `max_history` changes are
    kept.
    """

    def __init__(self, reactor: Any) -> None:
        self.revision = 1
        self.era = 1
        self.calls = 0
        self.fault: int | str | None = None
        self._reactor = reactor
        self._items: dict[str, dict[str, Any]] = {}
        self._events: deque[dict[str, Any]] = deque()
        self.max_history = 10_000
        self._compacted_revision = 0
        self._watches: list[tuple[str, int, Responder]] = []

    def put(self, key: str, value: object) -> None:
        """Write an item and notify the watches of its prefix."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created-rev": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._publish_event(item)

    def remove(self, key: str) -> None:
        """Remove an item, if it exists, and notify the watches of its prefix."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._publish_event(event)

    def forget_history(self) -> None:
        """Drop the history of changes; watches of earlier revisions get 410."""
        self._events.clear()
        self._compacted_revision = self.revision

    def take_copy(self) -> StoreCopy:
        """Return a copy of the content, for a later `restore`."""
        return StoreCopy(dict(self._items), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Replace the content by an older copy, whose revisions are given out again."""
        self._items, self.revision = dict(copy.items), copy.revision
        self.era += 1
        self.forget_history()
        watches, self._watches = self._watches, []
        for _, _, responder in watches:
            self._finish(responder, 410)

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        self.calls += 1
        if self.fault == "silent":
            return
        if isinstance(self.fault, int):
            self._finish(responder, self.fault)
            return
        path, _, query = request.target.decode().partition("?")
        fields = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        if path == RANGE_PATH:
            self._answer_range(fields, responder)
        elif path == WATCH_PATH:
            self._open_watch(fields, responder)
        else:
            self._finish(responder, 404)

    def _finish(
        self, responder: Responder, status: int, body: object | None = None
    ) -> None:
        data = b"" if body is None else json.dumps(body).encode()
        responder.finish(status, ((STORE_ERA, b"%d" % self.era),), data)

    def _answer_range(self, fields: dict[str, str], responder: Responder) -> None:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields["prefix"]) and key > fields.get("after", "")
        )
        body = {
            "items": [self._items[key] for key in keys[:ITEMS_PER_PAGE]],
            "truncated": len(keys) > ITEMS_PER_PAGE,
            "store-revision": self.revision,
        }
        self._finish(responder, 200, body)

    def _open_watch(self, fields: dict[str, str], responder: Responder) -> None:
        after = int(fields["after"])
        if not self._compacted_revision <= after <= self.revision:
            self._finish(responder, 410)
            return
        watch = (fields["prefix"], after, responder)
        if self._answer_watch(watch, only_if_events=True):
            return
        self._watches.append(watch)
        wait_s = int(fields["wait-ms"]) / 1000
        self._reactor.callLater(wait_s, self._expire_watch, watch)

    def _expire_watch(self, watch: tuple[str, int, Responder]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer_watch(watch, only_if_events=False)

    def _publish_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        if len(self._events) > self.max_history:
            self._compacted_revision = self._events.popleft()["revision"]
        if self.fault is not None:
            return
        self._watches = [w for w in self._watches if not self._answer_watch(w, True)]

    def _answer_watch(
        self, watch: tuple[str, int, Responder], only_if_events: bool
    ) -> bool:
        prefix, after, responder = watch
        events = [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        if only_if_events and not events:
            return False
        body = {"events": events, "store-revision": self.revision}
        self._finish(responder, 200, body)
        return True
