"""The backend server's interface: shard requests and their cancellation.

This module alone knows the wire format. Another format costs another module with the
same two methods.
"""

from typing import Any

import msgspec

from currantwharf.adapters.http_errors import is_timeout, may_have_been_sent
from currantwharf.adapters.http_pool import make_agent
from currantwharf.adapters.json_post import PostAnswer, post_json
from currantwharf.owner import BackendAnswer, CallFailed, CallResult
from currantwharf.wire import Cancel, ShardRequest

SPARE_CONNECTIONS = 2  # connections beyond the slots, for cancellations
CANCEL_S = 1.0  # seconds for a cancellation


class BackendClient:
    """Call one backend server over HTTP with JSON."""

    def __init__(self, reactor: Any, address: str, slots: int) -> None:
        self._agent = make_agent(reactor, slots + SPARE_CONNECTIONS)
        # A connection that has just been made is alive; one that was idle may have
        # gone silent. An order that meets a silent one would end in doubt.
        self._fresh_agent = make_agent(reactor, 0)
        self._reactor = reactor
        self._ask_url = f"http://{address}/v1/shard-requests".encode()
        self._cancel_url = f"http://{address}/v1/cancellations".encode()

    async def send_requests(self, requests: tuple[ShardRequest, ...]) -> CallResult:
        """Send shard requests in one call and return what came of it."""
        timeout = max(req.budget_ms for req in requests) / 1000
        body = msgspec.json.encode({"requests": [_item(req) for req in requests]})
        try:
            fresh = not requests[0].idempotent
            answer = await self._post(self._ask_url, body, max(timeout, 0.001), fresh)
            if answer.status != 200:
                return CallFailed(sent=True)
            return _decoder.decode(answer.body)
        except msgspec.MsgspecError:
            return CallFailed(sent=True)
        except Exception as exc:
            return CallFailed(may_have_been_sent(exc), is_timeout(exc))

    async def cancel(self, cancels: tuple[Cancel, ...]) -> None:
        """Ask the server to stop working on requests; no answer is needed."""
        pairs = [{"query": c.query, "attempt": c.attempt} for c in cancels]
        try:
            body = msgspec.json.encode({"requests": pairs})
            await self._post(self._cancel_url, body, CANCEL_S)
        except Exception:
            # A cancellation only saves work; the answer is dropped in any case.
            return

    async def _post(
        self, url: bytes, body: bytes, timeout_s: float, fresh: bool = False
    ) -> PostAnswer:
        agent = self._fresh_agent if fresh else self._agent
        return await post_json(agent, self._reactor, url, body, timeout_s)


_decoder = msgspec.json.Decoder(BackendAnswer)


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
