"""Post JSON to an instance or a backend server, on the hot path.

`treq.post` parses and IDNA-encodes its URL, merges cookies and wraps redirects and
decompression for each call, which took a third of a call's processor time
(docs/measurements.md). Between machines named by IP numbers none of it is wanted, so
this module calls the agent below treq and leaves the rest of the adapters on treq.
"""

from dataclasses import dataclass
from io import BytesIO
from typing import Any

import treq
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers

HEADERS = Headers({b"content-type": [b"application/json"]})


@dataclass(frozen=True, slots=True)
class PostAnswer:
    """Hold the status and the body of an answer."""

    status: int
    body: bytes


async def post_json(
    agent: Any, reactor: Any, url: bytes, body: bytes, timeout_s: float
) -> PostAnswer:
    """Post `body` to `url`; raise the agent's failure when no answer comes in time."""
    producer = FileBodyProducer(BytesIO(body))
    asked = agent.request(b"POST", url, HEADERS, producer)
    timer = reactor.callLater(timeout_s, asked.cancel)
    try:
        response = await asked
        content: bytes = await treq.content(response)
    finally:
        if timer.active():
            timer.cancel()
    return PostAnswer(response.code, content)
