"""One request on its way to a backend server, and the answer to it."""

from collections.abc import Callable

from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.message import HttpResponse

ExchangeResult = HttpResponse | ConnectionFailure


class Exchange:
    """Carry one request through a connection; the result is told once.

    `encode` returns the bytes at the moment of writing, since they hold the time that
    is left. `matches` tells whether an answer is one to this request. `deadline` is a
    reading of the monotonic clock in seconds. `is_acknowledged` turns true with an
    interim answer: the other end has the request.
    """

    __slots__ = (
        "encode",
        "matches",
        "deadline",
        "needs_fresh_connection",
        "is_done",
        "is_acknowledged",
        "_on_result",
    )

    def __init__(
        self,
        encode: Callable[[float], bytes],
        matches: Callable[[HttpResponse], bool],
        deadline: float,
        needs_fresh_connection: bool,
        on_result: Callable[[ExchangeResult], None],
    ) -> None:
        self.encode = encode
        self.matches = matches
        self.deadline = deadline
        self.needs_fresh_connection = needs_fresh_connection
        self.is_done = False
        self.is_acknowledged = False
        self._on_result = on_result

    def finish(self, result: ExchangeResult) -> None:
        """Tell the result, unless one was told before."""
        if not self.is_done:
            self.is_done = True
            self._on_result(result)
