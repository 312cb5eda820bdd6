"""Where callers' requests come in: admitted, routed and run."""

from collections.abc import Callable
from enum import StrEnum

from currantwharf.gateway.call_result import CallOutcome, CallReason, CallResult
from currantwharf.gateway.call_runner import Call, CallRunner
from currantwharf.gateway.crash_watch import CrashWatch
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.route import Route
from currantwharf.gateway.weighted_round_robin import WeightedRoundRobin
from currantwharf.policy.coverage import Coverage
from currantwharf.runtime.component_log import component_logger


class Refusal(StrEnum):
    """Tell why a request was not taken; it has not run."""

    NO_CONFIG = "no_config"
    NO_ROUTE = "no_route"
    ROUTE_UNSURE = "route_unsure"  # no such route, but what is known may be old
    RELEARNING = "relearning"  # the process was paused and knows nothing new yet


log = component_logger("entry")

HELD_RETRY_S = 60.0  # seconds; a request that crashes servers had better not come back
REFUSED_AS_HELD = CallResult(
    CallOutcome.NOT_RUN,
    CallReason.HELD,
    (),
    Coverage(0, 0),
    retry_after_s=HELD_RETRY_S,
)


class EntryPoint:
    """Find the route of each request and run it.

    `is_current` tells whether the configuration is known to be the newest, so that a
    route that is not in it does not exist; `is_relearning` that the process was paused
    and has heard of nothing since.
    """

    def __init__(
        self,
        registry: Registry,
        calls: CallRunner,
        crashes: CrashWatch,
        is_current: Callable[[], bool],
        is_relearning: Callable[[], bool],
    ) -> None:
        self.registry = registry
        self._calls = calls
        self._crashes = crashes
        self._is_current = is_current
        self._is_relearning = is_relearning
        self._turns: dict[str, tuple[Route, WeightedRoundRobin]] = {}

    @property
    def config_version(self) -> int:
        """The version of the configuration in force, 0 if there is none."""
        config = self.registry.config
        return config.version if config is not None else 0

    def find_route(self, host: bytes, path: bytes, request_id: str) -> Route | Refusal:
        """Return the route of a request, or why it is not taken."""
        found = self._find(host, path)
        if isinstance(found, Refusal):
            fields = {
                "request_id": request_id,
                "reason": found.value,
                "config_version": self.config_version,
                "host": host.decode("latin-1"),
                "path": path.decode("latin-1"),
            }
            log.info("refused", extra=fields)
        return found

    def _find(self, host: bytes, path: bytes) -> Route | Refusal:
        if not self.registry.is_known:
            return Refusal.NO_CONFIG
        if self._is_relearning():
            return Refusal.RELEARNING
        route = self.registry.routes.find_route(host, path)
        if route is not None:
            return route
        return Refusal.NO_ROUTE if self._is_current() else Refusal.ROUTE_UNSURE

    def run(
        self,
        request: GatewayRequest,
        route: Route,
        on_result: Callable[[CallResult], None],
    ) -> Call | None:
        """Run a request, unless it is known to crash servers."""
        if self._crashes.is_held(request.fingerprint, request.arrived_at):
            on_result(REFUSED_AS_HELD)
            return None
        services = route.shards or (self._service_of(route),)
        return self._calls.start(request, route, services, on_result)

    def abandon(self, call: Call | None) -> None:
        """Give a call up whose caller has left."""
        if call is not None:
            self._calls.abandon(call)

    def _service_of(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        known = self._turns.get(route.name)
        if known is None or known[0].services != route.services:
            known = (route, WeightedRoundRobin(route.services))
            self._turns[route.name] = known
        return known[1].next()
