"""Post JSON to an instance or a backend server, on the hot path.

For each call, `treq.post` parses and IDNA-encodes the URL, merges cookies and handles
redirects and decompression, which took a third of the CPU time of a call
(docs/measurements.md). Calls between machines addressed by IP address need none of
this, so this module calls the Twisted agent directly. The other adapters use treq.
"""

from dataclasses import dataclass
from io import BytesIO
from typing import Any

import treq
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

JSON_HEADERS = Headers({b"content-type": [b"application/json"]})


@dataclass(frozen=True, slots=True)
class PostResponse:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


async def post_json(
    agent: Any, reactor: Any, url: bytes, body: bytes, timeout_s: float
) -> PostResponse:
    """Post `body` to `url`; raise the agent's error on failure or timeout."""
    producer = FileBodyProducer(BytesIO(body))
    pending_response = agent.request(b"POST", url, JSON_HEADERS, producer)
    timer = reactor.callLater(timeout_s, pending_response.cancel)
    try:
        response = await pending_response
        content: bytes = await treq.content(response)
    finally:
        if timer.active():
            timer.cancel()
    return PostResponse(response.code, content)
