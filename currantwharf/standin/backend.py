"""A small stand-in for a backend server.

It runs requests in a fixed number of slots, each for a random service time, and
queues a bounded number of others; beyond that it sheds load. It also drains and
honours cancellation. After a start it is cold: it is slower, and warms up with each
answer. A cold server that runs more than one request at once becomes much slower, as
a real one collapses under load.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from currantwharf.owner import BackendItem, ItemOutcome
from currantwharf.standin.fault import Fault
from currantwharf.wire import Hit

# The server sheds a request that finds this many waiting.
MAX_QUEUED_REQUESTS = 8
# Multiplies the service time of a cold server that runs several requests at once.
COLD_OVERLOAD_FACTOR = 10.0
# Extra service time right after a start, as a multiple of the usual service time;
# it falls to 0 as the server warms up.
COLD_START_SLOWDOWN_FACTOR = 2.0
# A started server is warm after a random number of answers between these two.
MAX_COLD_ANSWERS = 30
MIN_COLD_ANSWERS = 5


@dataclass(frozen=True, slots=True)
class Work:
    """One shard request as a stand-in server receives it."""

    query: str
    attempt: int
    shard: str
    index_version: str
    budget_ms: float
    idempotent: bool
    body: Any = None


@dataclass(slots=True)
class Job:
    """A waiting or running request; `done` fires with its result."""

    work: Work
    deadline: float
    done: "Deferred[BackendItem]"
    timer: Any = None


@dataclass(slots=True)
class BackendStats:
    """Counters of a stand-in server.

    `peak` and `cold_peak` are the highest numbers of requests that ran at once, at any
    time and while the server was cold. `runs` counts the started requests by the `id`
    in their body.
    """

    started: int = 0
    shed: int = 0
    cancelled: int = 0
    peak: int = 0
    cold_peak: int = 0
    runs: dict[str, int] = field(default_factory=dict)


class Backend:
    """A stand-in backend server, which runs shard requests in slots."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        slots: int,
        service_ms: float,
        boot_id: str,
        seed: int,
    ) -> None:
        self.name = name
        self.boot_id = boot_id
        self.fault = Fault()
        self.stats = BackendStats()
        self.index_versions: set[str] | None = None
        self.shards: set[str] | None = None
        self._reactor = reactor
        self._slots = slots
        self._service_ms = service_ms
        self._rng = random.Random(seed)
        self._waiting: list[Job] = []
        self._running: dict[tuple[str, int], Job] = {}
        self._cold_answers = self._cold_total = 0
        self.turn_cold(boot_id)

    def turn_cold(self, boot_id: str) -> None:
        """Become cold under a new boot id, as after a restart."""
        self.boot_id = boot_id
        answers = self._rng.randint(MIN_COLD_ANSWERS, MAX_COLD_ANSWERS)
        self._cold_answers = self._cold_total = answers

    @property
    def is_cold(self) -> bool:
        """Whether the server slows down when it runs more than one request at once."""
        return self._cold_answers > 0

    def submit(self, work: Work, now: float) -> "Deferred[BackendItem]":
        """Run, queue or refuse a request; a silent server never fires the result."""
        job = Job(work, now + work.budget_ms / 1000, Deferred())
        refused = self._find_refusal(work)
        if self.fault.silent:
            return job.done
        if refused is not None:
            self.stats.shed += refused is ItemOutcome.SHED
            job.done.callback(_make_item(work, refused))
        elif len(self._running) < self._slots:
            self._start(job, now)
        else:
            self._waiting.append(job)
        return job.done

    def cancel(self, query: str, attempt: int, now: float) -> None:
        """Cancel a waiting or running request; ignore an unknown one."""
        for job in self._waiting:
            if (job.work.query, job.work.attempt) == (query, attempt):
                self._waiting.remove(job)
                self._complete(job, ItemOutcome.CANCELLED)
                return
        running = self._running.get((query, attempt))
        if running is not None:
            running.timer.cancel()
            self.stats.cancelled += 1
            self._finish(running, now, ItemOutcome.CANCELLED)

    def _find_refusal(self, work: Work) -> ItemOutcome | None:
        if self.fault.failing:
            return ItemOutcome.FAILED
        if self.fault.draining:
            return ItemOutcome.LEAVING
        versions = self.index_versions
        if versions is not None and work.index_version not in versions:
            return ItemOutcome.VERSION_GONE
        if self.shards is not None and work.shard not in self.shards:
            return ItemOutcome.SHARD_MOVED
        if len(self._waiting) >= MAX_QUEUED_REQUESTS:
            return ItemOutcome.SHED
        return None

    def _start(self, job: Job, now: float) -> None:
        self._running[job.work.query, job.work.attempt] = job
        self.stats.started += 1
        self.stats.peak = max(self.stats.peak, len(self._running))
        if self.is_cold:
            self.stats.cold_peak = max(self.stats.cold_peak, len(self._running))
        if isinstance(job.work.body, dict) and "id" in job.work.body:
            body_id = str(job.work.body["id"])
            self.stats.runs[body_id] = self.stats.runs.get(body_id, 0) + 1
        job.timer = self._reactor.callLater(
            self._draw_service_time_s(), self._finish, job, None, ItemOutcome.ANSWERED
        )

    def _draw_service_time_s(self) -> float:
        # Searches have lognormal service times with a few much longer ones.
        factor = self._rng.lognormvariate(0.0, 0.25)
        if self._rng.random() < 0.01:
            factor *= 3
        if self.is_cold:
            factor *= (
                1 + COLD_START_SLOWDOWN_FACTOR * self._cold_answers / self._cold_total
            )
        if self.is_cold and len(self._running) > 1:
            factor *= COLD_OVERLOAD_FACTOR
        return self._service_ms * factor * self.fault.slow / 1000

    def _finish(self, job: Job, now: float | None, outcome: ItemOutcome) -> None:
        self._running.pop((job.work.query, job.work.attempt), None)
        if outcome is ItemOutcome.ANSWERED and self._cold_answers > 0:
            self._cold_answers -= 1
        self._complete(job, outcome)
        while self._waiting and len(self._running) < self._slots:
            self._start(self._waiting.pop(0), 0.0)

    def _complete(self, job: Job, outcome: ItemOutcome) -> None:
        hits = self._make_hits(job.work) if outcome is ItemOutcome.ANSWERED else ()
        job.done.callback(_make_item(job.work, outcome, hits))

    def _make_hits(self, work: Work) -> tuple[Hit, ...]:
        if not work.idempotent:
            return (Hit(f"receipt-{work.query}", 1.0, f"accepted by {self.name}"),)
        text = work.body.get("text", "") if isinstance(work.body, dict) else ""
        return tuple(
            Hit(
                f"{work.shard}/{number}",
                round(self._rng.random(), 4),
                f"{text} at {work.shard} of {work.index_version}",
            )
            for number in range(2)
        )


def _make_item(
    work: Work, outcome: ItemOutcome, hits: tuple[Hit, ...] = ()
) -> BackendItem:
    return BackendItem(
        work.query, work.attempt, work.shard, work.index_version, outcome, hits
    )
