"""One HTTP request to another instance."""

from collections.abc import Callable
from typing import Any

from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpResponse,
    ProgressTimeout,
    encode_request,
)
from currantwharf.peers.compression import (
    ACCEPT_ENCODING,
    DEFLATE,
    UnreadableBodyError,
    decompress_answer,
)
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger

FETCH_TIMEOUT_S = 1.0  # without a byte; short, because peers answer from memory
# For a whole fetch. Another peer may be nearer, or less busy.
MAX_FETCH_S = 4.0

log = component_logger("peers")


def fetch_from_peer(
    reactor: Any,
    clock: Clock,
    address: tuple[str, int],
    target: bytes,
    on_body: Callable[[bytes | None], None],
) -> None:
    """Request `target`; `on_body` gets the body, or None if there was no answer."""
    pool = ConnectionPool(reactor, clock.now, address, 1)
    headers = [(b"host", address[0].encode()), (ACCEPT_ENCODING, DEFLATE)]
    data = encode_request(b"GET", target, headers)

    def finish(result: HttpResponse | ConnectionFailure) -> None:
        timeout.stop()
        pool.close()
        if isinstance(result, ConnectionFailure) or result.status != 200:
            on_body(None)
            return
        try:
            body = decompress_answer(result)
        except UnreadableBodyError as exc:
            log.warning(
                "answer of a peer is unreadable; ignoring it",
                extra={"from": address[0], "why": str(exc)},
            )
            on_body(None)
            return
        on_body(body)

    exchange = Exchange(
        lambda now: data,
        lambda response: True,
        clock.now() + MAX_FETCH_S,
        False,
        finish,
    )
    timeout = ProgressTimeout(
        reactor,
        exchange,
        FETCH_TIMEOUT_S,
        FETCH_TIMEOUT_S,
        MAX_FETCH_S,
        lambda: pool.cancel(exchange, ConnectionFailure.TIMED_OUT),
    )
    pool.send(exchange)
