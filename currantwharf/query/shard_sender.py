"""Send the shard requests of one query and withdraw them again."""

from currantwharf.query.actions import QueryAction, SendToOwner
from currantwharf.query.caller_request import CallerRequest
from currantwharf.query.router import Route, Router
from currantwharf.query.shard_progress import Attempt, ShardProgress
from currantwharf.wire import Cancel, ShardRequest

HOP_MARGIN_MS = 4.0  # milliseconds kept back from the budget of each hop


class ShardSender:
    """Number the attempts of one query and count its first and its extra sends."""

    def __init__(self, query: str, request: CallerRequest, router: Router) -> None:
        self.sends = 0
        self.extras = 0
        self._query = query
        self._request = request
        self._router = router
        self._attempts = 0

    def find_route(self, shard: ShardProgress, now: float) -> Route | None:
        """Return the route of the next attempt, if there is any.

        A replica that is busy with the shard is never asked again at once; one that
        was tried before is asked only when no other is left.
        """
        busy = {attempt.server for attempt in shard.attempts.values()}
        fresh = self._router.choose(shard.servers, shard.tried | busy, now)
        if fresh is not None or shard.attempts:
            return fresh
        return self._router.choose(shard.servers, busy, now)

    def send(
        self,
        name: str,
        shard: ShardProgress,
        index_version: str,
        extra: bool,
        now: float,
    ) -> QueryAction | None:
        """Return the action that asks a replica of the shard, or None without one."""
        route = self.find_route(shard, now)
        if route is None:
            return None
        self._attempts += 1
        self.sends += not extra
        self.extras += extra
        shard.attempts[self._attempts] = Attempt(route.server, route.owner, now)
        shard.tried.add(route.server)
        shard.sends += 1
        shard.retry_at = None
        self._router.stats.on_send(route.server)
        request = ShardRequest(
            self._query,
            self._attempts,
            self._request.class_name,
            name,
            route.server,
            index_version,
            (self._request.deadline - now) * 1000 - HOP_MARGIN_MS,
            True,
            self._request.fingerprint,
            self._request.body,
        )
        return SendToOwner(route.owner, request)

    def cancel(self, shard: ShardProgress, now: float | None) -> list[QueryAction]:
        """Withdraw all attempts of a shard.

        With `now` given the time that they have waited counts against their servers.
        """
        actions: list[QueryAction] = []
        for number, attempt in shard.attempts.items():
            self._router.stats.on_end(attempt.server)
            if now is not None:
                waited_ms = (now - attempt.sent_at) * 1000
                self._router.stats.on_slow(attempt.server, waited_ms, now)
            cancel = Cancel(self._query, number, attempt.server)
            actions.append(SendToOwner(attempt.owner, cancel))
        shard.attempts.clear()
        return actions
