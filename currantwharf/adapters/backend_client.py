"""The backend server's interface: shard requests and their cancellation.

This module alone knows the wire format. Another format costs another module with the
same two methods.
"""

from typing import Any

import msgspec
import treq
from twisted.web.http_headers import Headers

from currantwharf.adapters.http_errors import is_timeout, was_sent
from currantwharf.adapters.http_pool import make_agent
from currantwharf.owner import BackendAnswer, CallFailed, CallResult
from currantwharf.wire import Cancel, ShardRequest

SPARE_CONNECTIONS = 2  # connections beyond the slots, for cancellations
CANCEL_S = 1.0  # seconds for a cancellation
JSON_HEADERS = Headers({"content-type": ["application/json"]})


class BackendClient:
    """Call one backend server over HTTP with JSON."""

    def __init__(self, reactor: Any, address: str, slots: int) -> None:
        self._agent = make_agent(reactor, slots + SPARE_CONNECTIONS)
        self._address = address

    async def ask(self, requests: tuple[ShardRequest, ...]) -> CallResult:
        """Send shard requests in one call and return what came of it."""
        timeout = max(req.budget_ms for req in requests) / 1000
        body = msgspec.json.encode({"requests": [_item(req) for req in requests]})
        try:
            response = await treq.post(
                f"http://{self._address}/v1/shard-requests",
                data=body,
                headers=JSON_HEADERS,
                agent=self._agent,
                timeout=max(timeout, 0.001),
            )
            content: bytes = await treq.content(response)
            if response.code != 200:
                return CallFailed(sent=True)
            return msgspec.json.decode(content, type=BackendAnswer)
        except msgspec.MsgspecError:
            return CallFailed(sent=True)
        except Exception as exc:
            return CallFailed(was_sent(exc), is_timeout(exc))

    async def cancel(self, cancels: tuple[Cancel, ...]) -> None:
        """Ask the server to stop working on requests; no answer is needed."""
        pairs = [{"query": c.query, "attempt": c.attempt} for c in cancels]
        try:
            response = await treq.post(
                f"http://{self._address}/v1/cancellations",
                data=msgspec.json.encode({"requests": pairs}),
                headers=JSON_HEADERS,
                agent=self._agent,
                timeout=CANCEL_S,
            )
            await treq.content(response)
        except Exception:
            # A cancellation only saves work; the answer is dropped in any case.
            return


def _item(request: ShardRequest) -> dict[str, object]:
    return {
        "query": request.query,
        "attempt": request.attempt,
        "class": request.class_name,
        "shard": request.shard,
        "index_version": request.index_version,
        "budget_ms": request.budget_ms,
        "idempotent": request.idempotent,
        "body": request.body,
    }
