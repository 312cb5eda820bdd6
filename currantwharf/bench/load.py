"""Open-loop load: requests are sent on schedule, however late earlier answers are."""

import random
from dataclasses import dataclass, field
from itertools import cycle
from typing import Any

import msgspec
import treq
from twisted.internet.defer import Deferred, DeferredList, ensureDeferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import deferLater
from twisted.web.http_headers import Headers

from currantwharf.adapters.http_pool import make_agent
from currantwharf.bench.cost import compute_cost, read_counters
from currantwharf.bench.experiment import ClassLoad, Event, Experiment, Phase
from currantwharf.metrics import ClassHistograms
from currantwharf.node import SystemClock

IDLE_CONNECTIONS_PER_INSTANCE = 64
TIMEOUT_AFTER_DEADLINE_S = 2.0  # time for a late answer before a call is abandoned
JSON_HEADERS = Headers({"content-type": ["application/json"]})
NO_ANSWER = "no_answer"  # outcome of a request that no instance answered


@dataclass(slots=True)
class PhaseResult:
    """The answers that callers got in one phase, by request class, and their cost."""

    name: str
    seconds: float
    sent: int = 0
    classes: dict[str, ClassHistograms] = field(default_factory=dict)
    cost: dict[str, float] = field(default_factory=dict)


class LoadGenerator:
    """Generates the load of an experiment and records the answers.

    Latency is measured from the scheduled send time of a request, so that a generator
    that falls behind its schedule does not hide slow answers.
    """

    def __init__(self, reactor: Any, experiment: Experiment) -> None:
        self._reactor = reactor
        self._clock = SystemClock()
        self._experiment = experiment
        self._agent = make_agent(reactor, IDLE_CONNECTIONS_PER_INSTANCE)
        self._rng = random.Random(experiment.seed)
        self._instances = cycle(experiment.instances)
        self._request_count = 0

    async def run(self) -> list[PhaseResult]:
        """Run the phases one after the other and return their results."""
        return [await self._run_phase(phase) for phase in self._experiment.phases]

    async def _run_phase(self, phase: Phase) -> PhaseResult:
        result = PhaseResult(phase.name, phase.seconds)
        before = await read_counters(self._experiment, self._agent)
        started_at = self._clock.now()
        events = [ensureDeferred(self._post_event(event)) for event in phase.events]
        loads = [
            ensureDeferred(self._generate_load(load, started_at, phase, result))
            for load in self._experiment.loads
        ]
        pending: list[Deferred[None]] = events + loads
        await DeferredList(pending, fireOnOneErrback=True)
        seconds = self._clock.now() - started_at
        after = await read_counters(self._experiment, self._agent)
        result.cost = compute_cost(before, after, seconds)
        return result

    async def _generate_load(
        self, load: ClassLoad, started_at: float, phase: Phase, result: PhaseResult
    ) -> None:
        histograms = result.classes.setdefault(load.class_name, ClassHistograms())
        recording_from = started_at + phase.settle_s
        ends_at = recording_from + phase.seconds
        send_at = started_at
        pending: list[Deferred[None]] = []
        while True:
            send_at += self._rng.expovariate(load.rate)
            if send_at >= ends_at:
                break
            delay_s = send_at - self._clock.now()
            if delay_s > 0:
                await deferLater(self._reactor, delay_s, lambda: None)
            result.sent += 1
            recorded_in = histograms if send_at >= recording_from else ClassHistograms()
            pending.append(
                ensureDeferred(self._send_request(load, send_at, recorded_in))
            )
        remaining_s = max(0.0, ends_at - self._clock.now())
        await deferLater(self._reactor, remaining_s, lambda: None)
        await DeferredList(pending)

    async def _send_request(
        self, load: ClassLoad, send_at: float, histograms: ClassHistograms
    ) -> None:
        self._request_count += 1
        body = self._build_body(load, self._request_count)
        answer = await self._call_instance(load, body)
        latency_s = self._clock.now() - send_at
        coverage = answer.get("coverage", {"answered": 0, "shards": 0})
        answered, shards = coverage["answered"], coverage["shards"]
        coverage_ratio = answered / shards if shards else 0.0
        is_complete = (
            shards > 0 and answered == shards and answer["outcome"] == "answered"
        )
        histograms.record(
            latency_s, coverage_ratio, 0.0, is_complete, answer["outcome"]
        )

    async def _call_instance(
        self, load: ClassLoad, body: dict[str, object]
    ) -> dict[str, Any]:
        """Send a request to the next instance that accepts it and return the answer.

        An instance that refuses the connection or is not ready is skipped, as a load
        balancer would do: it has not started the request, so sending again is safe.
        """
        for _ in range(len(self._experiment.instances)):
            try:
                response = await treq.post(
                    f"http://{next(self._instances)}/v1/requests",
                    data=msgspec.json.encode(body),
                    headers=JSON_HEADERS,
                    agent=self._agent,
                    timeout=load.deadline_ms / 1000 + TIMEOUT_AFTER_DEADLINE_S,
                )
                decoded: dict[str, Any] = msgspec.json.decode(
                    await treq.content(response)
                )
            except ConnectionRefusedError:
                continue
            except Exception:
                break
            if response.code == 503 and decoded["error"]["type"] == "not_ready":
                continue
            return decoded
        return {"outcome": NO_ANSWER}

    def _build_body(self, load: ClassLoad, number: int) -> dict[str, object]:
        request_id = f"{self._experiment.name}-{self._experiment.seed}-{number}"
        body: dict[str, object] = {
            "id": request_id,
            "class": load.class_name,
            "caller": load.caller,
            "deadline_ms": load.deadline_ms,
            "body": {"text": f"board {number % 100}"},
        }
        if not load.idempotent:
            # Ids are unique per run: two runs of one experiment against the same site
            # would otherwise repeat the ids of requests that were already carried out.
            unique = f"{request_id}-{self._clock.wall():.6f}"
            body["id"] = unique
            body["issued_at"] = self._clock.wall()
            body["body"] = {"id": unique}
        return body

    async def _post_event(self, event: Event) -> None:
        await deferLater(self._reactor, event.at_s, lambda: None)
        body = event.body.encode()
        response = await treq.post(event.url, data=body, agent=self._agent)
        await treq.content(response)
