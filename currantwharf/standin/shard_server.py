"""A stand-in of one backend server that speaks the platform's HTTP interface."""

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from currantwharf.http1 import Header, HttpRequest, Responder
from currantwharf.platform import names
from currantwharf.standin.server_faults import ServerFaults

MAX_QUEUED_REQUESTS = 12  # waiting for a slot; more are shed
RECORD_BYTES = 16
RECORDS_PER_ANSWER = 25


def build_answer_body(server: str, request_id: str) -> bytes:
    """Return the records of an answer, which depend only on the server and the id."""
    seed = f"{server}|{request_id}"
    return random.Random(seed).randbytes(RECORDS_PER_ANSWER * RECORD_BYTES)


class ShardServer:
    """A backend server that runs `slots` requests at a time and signs the answers.

    `on_crash` is called when a request crashes the server, which then forgets all
    others. For the assertions of tests, `received_ids` lists the ids of all requests
    received, `received_times` when each was received, and `runs` the ids of those that
    started to run.
    """

    def __init__(self, reactor: Any, server: str, slots: int, work_s: float) -> None:
        self.server = server
        self.faults = ServerFaults()
        self.received_ids: list[str] = []
        self.received_times: list[float] = []
        self.runs: list[str] = []
        self.crash_count = 0
        self.on_crash: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._slots = slots
        self._work_s = work_s
        self._running_count = 0
        self._waiting: deque[tuple[HttpRequest, Responder]] = deque()

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Queue or run a request, or refuse it when misdirected or overloaded."""
        request_id = (request.get(names.REQUEST_ID) or b"").decode()
        self.received_ids.append(request_id)
        self.received_times.append(self._reactor.seconds())
        expected = request.get(names.EXPECTED_SERVER)
        if expected is not None and expected.decode() != self.server:
            responder.finish(421, self._build_headers(request, signed=False), b"")
        elif self.faults.shed or len(self._waiting) >= MAX_QUEUED_REQUESTS:
            headers = [*self._build_headers(request, signed=False)]
            headers.append((names.NOT_RUN, b"1"))
            if self.faults.wants_nothing_s:
                value = b"%.2f" % self.faults.wants_nothing_s
                headers.append((names.RETRY_AFTER, value))
            responder.finish(503, headers, b"")
        else:
            self._waiting.append((request, responder))
            self._start_next()

    def _start_next(self) -> None:
        if (
            self._waiting
            and self._running_count < self._slots
            and not self.faults.silent
        ):
            self._running_count += 1
            request, responder = self._waiting.popleft()
            self.runs.append((request.get(names.REQUEST_ID) or b"").decode())
            if self.faults.crashed_by and self.faults.crashed_by in request.target:
                self._waiting.clear()
                self._running_count = 0
                self.crash_count += 1
                self.on_crash()
                return
            work_s = self._work_s * self.faults.slow
            self._reactor.callLater(work_s, self._finish, request, responder)

    def _finish(self, request: HttpRequest, responder: Responder) -> None:
        self._running_count -= 1
        headers = self._build_headers(request, signed=True)
        if self.faults.failing:
            responder.finish(500, headers, b"failed")
        else:
            request_id = (request.get(names.REQUEST_ID) or b"").decode()
            responder.finish(200, headers, build_answer_body(self.server, request_id))
        self._start_next()

    def _build_headers(self, request: HttpRequest, signed: bool) -> tuple[Header, ...]:
        request_id = request.get(names.REQUEST_ID) or b""
        signature = b"%s.%s" % (self.server.encode(), request_id)
        headers = [(names.REQUEST_ID, request_id)]
        if self.faults.limit_per_s is not None:
            headers.append((names.SERVER_LIMIT, b"%.2f" % self.faults.limit_per_s))
        if self.faults.leaving:
            headers.append((names.SERVER_LEAVING, b"1"))
        if signed:
            headers.append((names.SIGNATURE, signature))
        return tuple(headers)
