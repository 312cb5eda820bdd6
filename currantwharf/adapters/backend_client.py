"""HTTP client for a backend server: shard requests and their cancellation.

No other module knows the wire format of backend servers. Support for another format
is another module with the same two methods.
"""

from typing import Any

import msgspec

from currantwharf.adapters.http_errors import is_timeout, may_have_been_sent
from currantwharf.adapters.http_pool import make_agent
from currantwharf.adapters.json_post import PostResponse, post_json
from currantwharf.owner import BackendAnswer, CallFailed, CallResult
from currantwharf.wire import Cancel, ShardRequest

SPARE_CONNECTION_COUNT = 2  # beyond one per slot, for cancellations
CANCEL_TIMEOUT_S = 1.0


class BackendClient:
    """Client for one backend server, over HTTP with JSON."""

    def __init__(self, reactor: Any, address: str, slots: int) -> None:
        self._agent = make_agent(reactor, slots + SPARE_CONNECTION_COUNT)
        # A new connection is known to be alive, whereas the other end of an idle one
        # may be gone without notice. A request that is not idempotent would end with
        # an unknown outcome on such a connection.
        self._one_shot_agent = make_agent(reactor, 0)
        self._reactor = reactor
        self._requests_url = f"http://{address}/v1/shard-requests".encode()
        self._cancel_url = f"http://{address}/v1/cancellations".encode()

    async def send_requests(self, requests: tuple[ShardRequest, ...]) -> CallResult:
        """Send shard requests in one call and return its result."""
        timeout_s = max(req.budget_ms for req in requests) / 1000
        body = msgspec.json.encode(
            {"requests": [_encode_item(req) for req in requests]}
        )
        try:
            use_new_connection = not requests[0].idempotent
            response = await self._post(
                self._requests_url, body, max(timeout_s, 0.001), use_new_connection
            )
            if response.status != 200:
                return CallFailed(sent=True)
            return _decoder.decode(response.body)
        except msgspec.MsgspecError:
            return CallFailed(sent=True)
        except Exception as exc:
            return CallFailed(may_have_been_sent(exc), is_timeout(exc))

    async def cancel(self, cancels: tuple[Cancel, ...]) -> None:
        """Ask the server to stop work on requests; errors are ignored."""
        pairs = [{"query": c.query, "attempt": c.attempt} for c in cancels]
        try:
            body = msgspec.json.encode({"requests": pairs})
            await self._post(self._cancel_url, body, CANCEL_TIMEOUT_S)
        except Exception:
            # A cancellation only saves work: the answer to the request is dropped
            # whether or not the server stops.
            return

    async def _post(
        self,
        url: bytes,
        body: bytes,
        timeout_s: float,
        use_new_connection: bool = False,
    ) -> PostResponse:
        agent = self._one_shot_agent if use_new_connection else self._agent
        return await post_json(agent, self._reactor, url, body, timeout_s)


_decoder = msgspec.json.Decoder(BackendAnswer)


def _encode_item(request: ShardRequest) -> dict[str, object]:
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
