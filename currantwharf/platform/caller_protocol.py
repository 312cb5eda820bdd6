"""The callers' interface in the platform's wire format."""

from collections import deque
from collections.abc import Callable
from dataclasses import replace

import xxhash

from currantwharf.gateway.call_result import CallOutcome, CallReason, CallResult
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
    parse_count,
    parse_signed_count,
    select_end_to_end_headers,
)
from currantwharf.platform import names
from currantwharf.platform.backend_protocol import select_forwarded_headers
from currantwharf.policy.recently_used import RecentlyUsed

PROCESSING_RESERVE_S = 0.003  # this instance's own work before a response leaves
SIGNATURE_ITEM_BYTES = 32  # one shard's signature with its separating comma
MAX_DEADLINE_MS = 3_600_000  # a caller that allows more time is held to this one
# Requests of a route whose deadlines are kept: enough that one of them is a first
# attempt, and few enough that a deadline of another kind is soon forgotten.
RECENT_DEADLINES = 32
MAX_ROUTES_WITH_DEADLINES = 1_000
MAX_VERSION = 2**63 - 1  # of a configuration
# Time in seconds until a retry; reading a missing configuration takes less.
CONFIG_RETRY_HEADER = (names.RETRY_AFTER, b"0.25")

STATUS_BY_OUTCOME = {
    CallOutcome.NOT_RUN: 503,
    CallOutcome.UNKNOWN: 502,
    CallOutcome.TIMED_OUT: 504,
}


# These statuses promise a caller that its request has not run and never will.
STATUSES_OF_NOT_RUN = frozenset({408, 421, 429, 503})
# A hub's decision on a query that limits stop; another status leaves the query to the
# instance that asked.
STOPPED_BY_LIMITS_STATUS = 429
HELD_HEADERS = ((names.HELD, b"1"),)
HUB_ONLY_HEADERS = (b"content-length", names.HELD)  # not passed on to the caller


class CallerProtocol:
    """Decode callers' requests, run them and encode their results."""

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
        self._link_bytes_per_s = link_bytes_per_s
        self._recent_deadlines: RecentlyUsed[deque[int]] = RecentlyUsed(
            MAX_ROUTES_WITH_DEADLINES
        )
        self._overrun = OverrunEstimator()

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Run a caller's request, here or at a hub, and respond to it."""
        host = request.get(b"host") or b""
        path = request.target.partition(b"?")[0]
        request_id = request.get(names.REQUEST_ID)
        route = self._entry_point.find_route(host, path, _decode_text(request_id))
        if isinstance(route, Refusal):
            _write_refusal(route, responder)
            return
        if request_id is None or not request_id.isascii():
            responder.finish(400, (), b"the request has no id\n")
            return
        decoded = self._decode_request(request, request_id, route, responder)
        hub = self._relay.choose_hub(self._clock()) if route.shards else None
        if hub is None:
            self._run(decoded, route, responder)
        else:
            self._forward(hub, decoded, route, responder)

    def handle_relayed(self, request: HttpRequest, responder: Responder) -> None:
        """Acknowledge a query relayed by another instance, run it and respond to it.

        A hub that has an older configuration, or no route for the query, refuses it,
        so that the other instance runs it.
        """
        responder.acknowledge()
        host = request.get(b"host") or b""
        path = request.target.partition(b"?")[0]
        request_id = request.get(names.REQUEST_ID) or b""
        route = self._entry_point.find_route(host, path, _decode_text(request_id))
        sender_version = parse_count(request.get(names.CONFIG_VERSION), MAX_VERSION)
        is_behind = (sender_version or 0) > self._entry_point.config_version
        if is_behind or isinstance(route, Refusal):
            responder.finish(503, (), b"not run: left to the instance that asked\n")
            return
        decoded = self._decode_request(request, request_id, route, responder)
        target_left_ms = parse_signed_count(
            request.get(names.TARGET_LEFT_MS), MAX_DEADLINE_MS
        )
        if target_left_ms is not None:
            target_at = (
                decoded.arrived_at + target_left_ms / 1000 - responder.network_delay_s
            )
            target_at -= self._overrun.margin_s() + self._estimate_transfer_s(route)
            decoded = replace(decoded, target_at=target_at)
        self._run(decoded, route, responder, is_relayed=True)

    def _run(
        self,
        request: GatewayRequest,
        route: Route,
        responder: Responder,
        is_relayed: bool = False,
    ) -> None:
        def on_result(result: CallResult) -> None:
            is_held = is_relayed and result.reason is CallReason.HELD
            _write_result(result, route, responder, HELD_HEADERS if is_held else ())
            if result.answers and not result.coverage.is_complete:
                self._overrun.record(self._clock() - request.target_at)

        call = self._entry_point.run(request, route, on_result)
        responder.on_disconnect(lambda: self._entry_point.abandon(call))

    def _forward(
        self, hub: str, request: GatewayRequest, route: Route, responder: Responder
    ) -> None:
        """Have a hub run a query, or run it here if the hub did not confirm it."""
        # The response is transferred twice on this instance's link: in and out.
        target_at = request.target_at - self._estimate_transfer_s(route)

        def encode(now: float) -> bytes:
            remaining_ms = max(1, int((request.deadline - now) * 1000))
            target_left_ms = int((target_at - now) * 1000)
            headers = (
                *request.headers,
                (names.DEADLINE_MS, b"%d" % remaining_ms),
                (names.TARGET_LEFT_MS, b"%d" % target_left_ms),
                (names.CONFIG_VERSION, b"%d" % self._entry_point.config_version),
            )
            return encode_request(request.method, request.target, headers, request.body)

        def on_answer(answer: HttpResponse | RelayFailure) -> None:
            if answer is RelayFailure.NOT_TAKEN:
                self._run(request, route, responder)
            elif answer is RelayFailure.UNCONFIRMED:
                self._run(replace(request, prior_sends=1), route, responder)
            elif isinstance(answer, RelayFailure):
                responder.finish(502, (), b"unknown: hub lost\n")
            else:
                headers = tuple(
                    h for h in answer.headers if h[0] not in HUB_ONLY_HEADERS
                )
                responder.finish(
                    answer.status, select_end_to_end_headers(headers), answer.body
                )

        cancel = self._relay.send(hub, encode, request, on_answer, _is_final)
        responder.on_disconnect(cancel)

    def _decode_request(
        self,
        request: HttpRequest,
        request_id: bytes,
        route: Route,
        responder: Responder,
    ) -> GatewayRequest:
        now = self._clock()
        timeout_ms = int(route.timeout_s * 1000)
        given_ms = parse_count(request.get(names.DEADLINE_MS), MAX_DEADLINE_MS)
        remaining_ms = timeout_ms if given_ms is None else given_ms
        # A caller's retry has less time left than its first attempt, and its latency
        # target counts from the first. The longest of the route's recent deadlines is
        # taken as the deadline of a first attempt.
        recent_ms = self._recent_deadlines.get_or_add(
            route.name, lambda: deque(maxlen=RECENT_DEADLINES)
        )
        recent_ms.append(remaining_ms)
        elapsed_s = (max(recent_ms) - remaining_ms) / 1000
        # The response, even an error at the deadline, has to reach the caller while it
        # still waits, so both times are brought forward by the time of its delivery.
        delivery_s = (
            responder.network_delay_s + PROCESSING_RESERVE_S + self._overrun.margin_s()
        )
        delivery_s += self._estimate_transfer_s(route)
        hasher = xxhash.xxh3_64(request.target)
        hasher.update(request.method)
        hasher.update(request.body)
        return GatewayRequest(
            request_id.decode(),
            request.method,
            request.target,
            select_forwarded_headers(request.headers),
            request.body,
            hasher.hexdigest(),
            now,
            now + min(remaining_ms / 1000 - delivery_s, route.timeout_s),
            now + route.target_s - elapsed_s - delivery_s,
        )

    def _estimate_transfer_s(self, route: Route) -> float:
        """Return the time that a complete answer takes on this instance's link."""
        answer_bytes = (
            len(route.shards) * SIGNATURE_ITEM_BYTES + route.top * RECORD_BYTES
        )
        return answer_bytes / self._link_bytes_per_s


def _is_final(answer: HttpResponse) -> bool:
    """Return whether a hub's answer is for the caller.

    A hub that does not run a query leaves it to the instance that asked, unless the
    query crashes servers.
    """
    return answer.status != 503 or answer.get(names.HELD) is not None


def _write_result(
    result: CallResult,
    route: Route,
    responder: Responder,
    headers: tuple[Header, ...],
) -> None:
    """Respond with a result; a result without an answer has `headers`."""
    if result.outcome is not CallOutcome.ANSWERED:
        status = STATUS_BY_OUTCOME[result.outcome]
        if result.outcome is CallOutcome.NOT_RUN:
            headers += ((names.RETRY_AFTER, b"%.3f" % result.retry_after_s),)
            if result.reason is CallReason.SERVER_LIMIT:
                status = STOPPED_BY_LIMITS_STATUS
        body = f"{result.outcome}: {result.reason}\n".encode()
        responder.finish(status, headers, body)
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
        if answer.status in STATUSES_OF_NOT_RUN and not route.idempotent:
            # The server has not said that it did not run the request.
            body = b"unknown: the server answered %d\n" % answer.status
            responder.finish(502, (), body)
        else:
            responder.finish(answer.status, answer.headers, answer.body)


def _decode_text(value: bytes | None) -> str:
    return (value or b"").decode("latin-1")


def _write_refusal(refusal: Refusal, responder: Responder) -> None:
    if refusal is Refusal.NO_ROUTE:
        responder.finish(404, (), b"no route takes this request\n")
    else:
        responder.finish(503, (CONFIG_RETRY_HEADER,), f"not run: {refusal}\n".encode())
