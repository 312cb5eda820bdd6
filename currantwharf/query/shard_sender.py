"""Creation and cancellation of the shard requests of one query."""

from currantwharf.query.actions import QueryAction, SendToOwner
from currantwharf.query.caller_request import CallerRequest
from currantwharf.query.router import Route, Router
from currantwharf.query.shard_progress import Attempt, ShardProgress
from currantwharf.wire import Cancel, ShardRequest

HOP_MARGIN_MS = 4.0  # subtracted from the time budget at each hop


class ShardSender:
    """Number the attempts of one query and count its first and extra sends."""

    def __init__(self, query_id: str, request: CallerRequest, router: Router) -> None:
        self.first_sends = 0
        self.extra_sends = 0
        self._query_id = query_id
        self._request = request
        self._router = router
        self._attempt_count = 0

    def find_route(self, shard: ShardProgress, now: float) -> Route | None:
        """Return the route of the next attempt, or None if there is no replica.

        A replica with an outstanding attempt for the shard is not used again. A
        replica that was tried before is used only if no attempt is outstanding and
        no untried replica is left.
        """
        busy = {attempt.server for attempt in shard.attempts.values()}
        untried = self._router.choose_route(shard.servers, shard.tried | busy, now)
        if untried is not None or shard.attempts:
            return untried
        return self._router.choose_route(shard.servers, busy, now)

    def send(
        self,
        shard_name: str,
        shard: ShardProgress,
        index_version: str,
        is_extra: bool,
        now: float,
    ) -> QueryAction | None:
        """Return the action that queries a replica, or None if there is no replica."""
        route = self.find_route(shard, now)
        if route is None:
            return None
        self._attempt_count += 1
        self.first_sends += not is_extra
        self.extra_sends += is_extra
        shard.attempts[self._attempt_count] = Attempt(route.server, route.owner, now)
        shard.tried.add(route.server)
        shard.sends += 1
        shard.retry_at = None
        self._router.stats.on_send(route.server)
        request = ShardRequest(
            self._query_id,
            self._attempt_count,
            self._request.class_name,
            shard_name,
            route.server,
            index_version,
            (self._request.deadline - now) * 1000 - HOP_MARGIN_MS,
            True,
            self._request.fingerprint,
            self._request.body,
        )
        return SendToOwner(route.owner, request)

    def cancel_attempts(
        self, shard: ShardProgress, now: float | None
    ) -> list[QueryAction]:
        """Cancel all outstanding attempts of a shard.

        If `now` is given, the time that the attempts have waited is recorded as slow
        in the statistics of their servers.
        """
        actions: list[QueryAction] = []
        for attempt_number, attempt in shard.attempts.items():
            self._router.stats.on_end(attempt.server)
            if now is not None:
                waited_ms = (now - attempt.sent_at) * 1000
                self._router.stats.on_slow(attempt.server, waited_ms, now)
            cancel = Cancel(self._query_id, attempt_number, attempt.server)
            actions.append(SendToOwner(attempt.owner, cancel))
        shard.attempts.clear()
        return actions
