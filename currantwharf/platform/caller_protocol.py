"""The callers' interface on the platform's wire."""

from collections.abc import Callable
from dataclasses import replace

import xxhash

from currantwharf.gateway.call_result import CallOutcome, CallResult
from currantwharf.gateway.entry_point import EntryPoint, Refusal
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.merge_records import RECORD_BYTES, merge_records
from currantwharf.gateway.overrun_estimator import OverrunEstimator
from currantwharf.gateway.relay import Relay
from currantwharf.gateway.relay_failure import RelayFailure
from currantwharf.gateway.route import Route
from currantwharf.http1 import (
    Header,
    HttpRequest,
    HttpResponse,
    Responder,
    encode_request,
    end_to_end,
)
from currantwharf.platform import names
from currantwharf.platform.backend_protocol import forwarded_headers

SPARE_S = 0.003  # seconds for this instance's own work before an answer leaves
SIGNATURE_BYTES = 32  # bytes of a shard's signature and the comma before it
RETRY_SOON = (names.RETRY_AFTER, b"0.25")  # seconds; a configuration is read in less

STATUS = {
    CallOutcome.NOT_RUN: 503,
    CallOutcome.UNKNOWN: 502,
    CallOutcome.TIMED_OUT: 504,
}


class CallerProtocol:
    """Translate callers' requests and the results of their calls."""

    def __init__(
        self,
        entry_point: EntryPoint,
        relay: Relay,
        clock: Callable[[], float],
        link_bytes_per_s: float,
    ) -> None:
        self._entry_point = entry_point
        self._relay = relay
        self._clock = clock
        self._link_bytes_s = link_bytes_per_s
        self._longest_ms: dict[str, int] = {}
        self._overrun = OverrunEstimator()

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Run a request and answer it."""
        host = request.get(b"host") or b""
        path = request.target.partition(b"?")[0]
        request_id = request.get(names.REQUEST_ID)
        route = self._entry_point.find_route(host, path, _text(request_id))
        if isinstance(route, Refusal):
            _refuse(route, responder)
            return
        if request_id is None or not request_id.isascii():
            responder.finish(400, (), b"the request has no id\n")
            return
        translated = self._translate(request, request_id, route, responder)
        hub = self._relay.hub(self._clock()) if route.shards else None
        if hub is None:
            self._run(translated, route, responder)
        else:
            self._forward(hub, translated, route, responder)

    def handle_relayed(self, request: HttpRequest, responder: Responder) -> None:
        """Run a query that another instance has passed on, and say at once so.

        A hub that knows an older configuration, or no route for the query, leaves it
        to the other instance.
        """
        responder.acknowledge()
        host = request.get(b"host") or b""
        path = request.target.partition(b"?")[0]
        request_id = request.get(names.REQUEST_ID) or b""
        route = self._entry_point.find_route(host, path, _text(request_id))
        known = request.get(names.CONFIG_VERSION) or b"0"
        is_behind = known.isdigit() and int(known) > self._entry_point.config_version
        if is_behind or isinstance(route, Refusal):
            responder.finish(503, (), b"not run: left to the instance that asked\n")
            return
        translated = self._translate(request, request_id, route, responder)
        left = request.get(names.TARGET_LEFT_MS) or b""
        if left.lstrip(b"-").isdigit():
            target_at = translated.arrived_at + int(left) / 1000 - responder.way_s
            target_at -= self._overrun.margin_s() + self._transfer_s(route)
            translated = replace(translated, target_at=target_at)
        self._run(translated, route, responder)

    def _run(self, request: GatewayRequest, route: Route, responder: Responder) -> None:
        def done(result: CallResult) -> None:
            _answer(result, route, responder)
            if result.answers and not result.coverage.is_complete:
                self._overrun.record(self._clock() - request.target_at)

        call = self._entry_point.run(request, route, done)
        responder.when_gone(lambda: self._entry_point.abandon(call))

    def _forward(
        self, hub: str, request: GatewayRequest, route: Route, responder: Responder
    ) -> None:
        """Have a query run by another instance, or by this one if that fails."""
        # The answer also passes this instance's link on its way in.
        target_at = request.target_at - self._transfer_s(route)

        def encode(now: float) -> bytes:
            left_ms = max(1, int((request.deadline - now) * 1000))
            target_ms = int((target_at - now) * 1000)
            headers = (
                *request.headers,
                (names.DEADLINE_MS, b"%d" % left_ms),
                (names.TARGET_LEFT_MS, b"%d" % target_ms),
                (names.CONFIG_VERSION, b"%d" % self._entry_point.config_version),
            )
            return encode_request(request.method, request.target, headers, request.body)

        def done(answer: HttpResponse | RelayFailure) -> None:
            if answer is RelayFailure.NOT_TAKEN:
                self._run(request, route, responder)
            elif answer is RelayFailure.UNCONFIRMED:
                self._run(replace(request, prior_sends=1), route, responder)
            elif isinstance(answer, RelayFailure):
                responder.finish(502, (), b"unknown: hub lost\n")
            else:
                kept = tuple(h for h in answer.headers if h[0] != b"content-length")
                responder.finish(answer.status, end_to_end(kept), answer.body)

        cancel = self._relay.send(hub, encode, request, done)
        responder.when_gone(cancel)

    def _translate(
        self,
        request: HttpRequest,
        request_id: bytes,
        route: Route,
        responder: Responder,
    ) -> GatewayRequest:
        now = self._clock()
        timeout_ms = int(route.timeout_s * 1000)
        value = request.get(names.DEADLINE_MS)
        left_ms = int(value) if value is not None and value.isdigit() else timeout_ms
        # The last answer, be it a failure, still has to reach a caller who waits.
        # What a caller's first attempt may take is the most that was seen; a later
        # attempt has less left, and its target counts from the first.
        longest_ms = max(left_ms, self._longest_ms.get(route.name, 0))
        self._longest_ms[route.name] = longest_ms
        spent_s = (longest_ms - left_ms) / 1000
        way_s = responder.way_s + SPARE_S + self._overrun.margin_s()
        way_s += self._transfer_s(route)
        digest = xxhash.xxh3_64(request.target)
        digest.update(request.method)
        digest.update(request.body)
        return GatewayRequest(
            request_id.decode(),
            request.method,
            request.target,
            forwarded_headers(request.headers),
            request.body,
            digest.hexdigest(),
            now,
            now + min(left_ms / 1000 - way_s, route.timeout_s),
            now + route.target_s - spent_s - way_s,
        )

    def _transfer_s(self, route: Route) -> float:
        """Return the time that a whole answer takes on this instance's link."""
        merged = len(route.shards) * SIGNATURE_BYTES + route.top * RECORD_BYTES
        return merged / self._link_bytes_s


def _answer(result: CallResult, route: Route, responder: Responder) -> None:
    if result.outcome is not CallOutcome.ANSWERED:
        headers: tuple[Header, ...] = ()
        if result.outcome is CallOutcome.NOT_RUN:
            headers = ((names.RETRY_AFTER, b"%.3f" % result.retry_after_s),)
        body = f"{result.outcome}: {result.reason}\n".encode()
        responder.finish(STATUS[result.outcome], headers, body)
    elif route.shards:
        missing = result.coverage.shards - result.coverage.answered
        signatures = b", ".join(answer.signature for answer in result.answers)
        body = merge_records([a.body for a in result.answers], route.top)
        headers = (
            (names.PART_SIGNATURES, signatures),
            (names.MISSING_PARTS, b"%d" % missing),
        )
        responder.finish(200, headers, body)
    else:
        (answer,) = result.answers
        responder.finish(answer.status, answer.headers, answer.body)


def _text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1")


def _refuse(refusal: Refusal, responder: Responder) -> None:
    if refusal is Refusal.NO_ROUTE:
        responder.finish(404, (), b"no route takes this request\n")
    else:
        responder.finish(503, (RETRY_SOON,), f"not run: {refusal}\n".encode())
