"""One request on its way to a backend server, and the answer to it."""

from collections.abc import Callable

from currantwharf.http1.connection_failure import ConnectionFailure
from currantwharf.http1.message import HttpResponse

ExchangeResult = HttpResponse | ConnectionFailure


class Exchange:
    """Carry one request through a connection; the result is told once.

    `encode` returns the bytes at the moment of writing, since they hold the time that
    is left. `belongs` tells whether an answer is one to this request. `deadline` is a
    reading of the monotonic clock in seconds. `is_acknowledged` turns true with an
    interim answer: the other end has the request.
    """

    __slots__ = (
        "encode",
        "belongs",
        "deadline",
        "is_fresh_only",
        "is_done",
        "is_acknowledged",
        "_tell",
    )

    def __init__(
        self,
        encode: Callable[[float], bytes],
        belongs: Callable[[HttpResponse], bool],
        deadline: float,
        is_fresh_only: bool,
        tell: Callable[[ExchangeResult], None],
    ) -> None:
        self.encode = encode
        self.belongs = belongs
        self.deadline = deadline
        self.is_fresh_only = is_fresh_only
        self.is_done = False
        self.is_acknowledged = False
        self._tell = tell

    def finish(self, result: ExchangeResult) -> None:
        """Tell the result, unless one was told before."""
        if not self.is_done:
            self.is_done = True
            self._tell(result)
