"""One request to a server and the response to it."""

from collections.abc import Callable

from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.message import HttpResponse

ExchangeResult = HttpResponse | ConnectionFailure


class Exchange:
    """A request to be sent on a connection; its result is reported once.

    `encode` returns the bytes at the time of writing, since they contain the time left
    until the deadline. `matches` returns whether a response matches this request.
    `may_be_sent` returns whether the request may still be sent, which is asked at the
    time of writing, and while it waits for a connection. The response to a request with
    `is_head` has no body, whatever length it declares.
    `deadline` is a reading of the monotonic clock in seconds.
    `needs_fresh_connection` asks for a connection that was used recently or is new.
    `is_written` is set once the request is on a connection, and `is_acknowledged` by
    an interim response, which proves that the other end has the request.
    `received_bytes` counts what has arrived since the request was written. Two
    exchanges with the same `request_id`, unless it is empty, never share a connection:
    a late second copy of the first response could not be told from the second one.
    """

    __slots__ = (
        "encode",
        "matches",
        "deadline",
        "needs_fresh_connection",
        "request_id",
        "may_be_sent",
        "is_head",
        "is_done",
        "is_written",
        "is_acknowledged",
        "received_bytes",
        "_on_result",
    )

    def __init__(
        self,
        encode: Callable[[float], bytes],
        matches: Callable[[HttpResponse], bool],
        deadline: float,
        needs_fresh_connection: bool,
        on_result: Callable[[ExchangeResult], None],
        request_id: str = "",
        may_be_sent: Callable[[float], bool] = lambda now: True,
        is_head: bool = False,
    ) -> None:
        self.encode = encode
        self.matches = matches
        self.deadline = deadline
        self.needs_fresh_connection = needs_fresh_connection
        self.request_id = request_id
        self.may_be_sent = may_be_sent
        self.is_head = is_head
        self.is_done = False
        self.is_written = False
        self.is_acknowledged = False
        self.received_bytes = 0
        self._on_result = on_result

    def finish(self, result: ExchangeResult) -> None:
        """Report the result, unless one was reported before."""
        if not self.is_done:
            self.is_done = True
            self._on_result(result)
