"""A stand-in of one backend server on the platform's wire."""

import random
from collections import deque
from typing import Any

from currantwharf.http1 import Header, HttpRequest, Responder
from currantwharf.platform import names
from currantwharf.standin.server_faults import ServerFaults

QUEUE = 12  # requests that wait for a slot; more are shed
RECORD_BYTES = 16  # bytes of one record
RECORDS = 25  # records of one answer


def build_answer_body(server: str, request_id: str) -> bytes:
    """Return the records that a server answers a request with, always the same."""
    seed = f"{server}|{request_id}"
    return random.Random(seed).randbytes(RECORDS * RECORD_BYTES)


class ShardServer:
    """Run requests in `slots` at a time and sign the answers.

    `runs` holds the ids of all requests that began to run, `arrived` those of all that
    came and `arrived_at` their times, so that a test can tell what was asked of it.
    """

    def __init__(self, reactor: Any, server: str, slots: int, work_s: float) -> None:
        self.server = server
        self.faults = ServerFaults()
        self.received_ids: list[str] = []
        self.received_times: list[float] = []
        self.runs: list[str] = []
        self._reactor = reactor
        self._slots = slots
        self._work_s = work_s
        self._busy = 0
        self._waiting: deque[tuple[HttpRequest, Responder]] = deque()

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Take one request."""
        request_id = (request.get(names.REQUEST_ID) or b"").decode()
        self.received_ids.append(request_id)
        self.received_times.append(self._reactor.seconds())
        expected = request.get(names.EXPECTED_SERVER)
        if expected is not None and expected.decode() != self.server:
            responder.finish(421, self._headers(request, signed=False), b"")
        elif self.faults.shed or len(self._waiting) >= QUEUE:
            not_run = (names.NOT_RUN, b"1")
            responder.finish(503, (not_run,), b"")
        else:
            self._waiting.append((request, responder))
            self._start_next()

    def _start_next(self) -> None:
        if self._waiting and self._busy < self._slots and not self.faults.silent:
            self._busy += 1
            request, responder = self._waiting.popleft()
            self.runs.append((request.get(names.REQUEST_ID) or b"").decode())
            work_s = self._work_s * self.faults.slow
            self._reactor.callLater(work_s, self._finish, request, responder)

    def _finish(self, request: HttpRequest, responder: Responder) -> None:
        self._busy -= 1
        headers = self._headers(request, signed=True)
        if self.faults.failing:
            responder.finish(500, headers, b"failed")
        else:
            request_id = (request.get(names.REQUEST_ID) or b"").decode()
            responder.finish(200, headers, build_answer_body(self.server, request_id))
        self._start_next()

    def _headers(self, request: HttpRequest, signed: bool) -> tuple[Header, ...]:
        request_id = request.get(names.REQUEST_ID) or b""
        signature = b"%s.%s" % (self.server.encode(), request_id)
        headers = ((names.REQUEST_ID, request_id),)
        return (*headers, (names.SIGNATURE, signature)) if signed else headers
