"""Sends shard requests to the backend servers that this instance owns."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import CancelledError, ensureDeferred

from currantwharf.config import BackendServer, VersionedConfig
from currantwharf.fleet import OwnerResolver
from currantwharf.metrics import Recorder
from currantwharf.node.interfaces import BackendCalls
from currantwharf.node.owned_server import OwnedServer
from currantwharf.node.peer_messenger import PeerMessenger
from currantwharf.owner import (
    SILENT_TAKEOVER_WAIT_S,
    TAKEOVER_WAIT_S,
    Abandon,
    Abort,
    CallFailed,
    CallResult,
    CrashTable,
    Dispatch,
    Refuse,
    SchedulerAction,
    ServerScheduler,
    WakeAt,
    build_answers,
    build_crash_key,
    build_refusal,
)
from currantwharf.query import Router
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.wire import (
    Cancel,
    Outcome,
    PeerMessage,
    Reason,
    ServerReleased,
    ShardRequest,
)

log = component_logger("owner")


class OwnerTask:
    """Runs the schedulers of the owned backend servers and the calls to them.

    A server has one owner, so that the scheduler's limit on calls holds over all
    instances together.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        name: str,
        router: Router,
        find_owner: Callable[[str], str | None],
        messenger: PeerMessenger,
        make_client: Callable[[BackendServer], BackendCalls],
        recorder: Recorder,
        on_crash: Callable[[ShardRequest], None],
    ) -> None:
        self._on_crash = on_crash
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._router = router
        self._find_owner = find_owner
        self._messenger = messenger
        self._make_client = make_client
        self._recorder = recorder
        self.crashes = CrashTable()
        self._servers: dict[str, OwnedServer] = {}
        self._senders: dict[tuple[str, int], str] = {}

    def owned_servers(self) -> dict[str, OwnedServer]:
        """Return the servers that this instance schedules calls to, by name.

        A released server stays included until its last call has ended.
        """
        return self._servers

    def is_idle(self) -> bool:
        """Return whether no shard request is queued or running."""
        return not self._senders

    def receive(self, message: PeerMessage, sender: str) -> None:
        """Handle a message from another instance or from this one."""
        self._on_message(message, sender)

    def update_ownership(
        self, versioned: VersionedConfig, owners: OwnerResolver
    ) -> None:
        """Acquire the servers that are newly owned and release the others."""
        now = self._clock.now()
        servers = versioned.config.servers
        data_centres = versioned.config.data_centres
        candidate_data_centres = {
            name
            for name in data_centres
            if owners.is_candidate_in(name, versioned.config)
        }
        for server in list(self._servers):
            if server not in servers or self._find_owner(server) != self._name:
                self._release_server(server)
        for server, declared in servers.items():
            if declared.data_centre not in candidate_data_centres:
                continue
            if self._find_owner(server) != self._name:
                continue
            owned = self._servers.get(server)
            if owned is None or owned.released or owned.declared != declared:
                has_silent_candidate = owners.has_silent_higher_candidate(
                    server, versioned.config
                )
                wait_s = (
                    SILENT_TAKEOVER_WAIT_S if has_silent_candidate else TAKEOVER_WAIT_S
                )
                owned = self._acquire_server(server, declared, wait_s, now)
            can_receive_work = self._router.can_receive_work(server, versioned.config)
            self._perform_actions(
                owned, owned.scheduler.set_leaving(not can_receive_work)
            )
            is_uncertain = owners.is_ownership_uncertain(server, versioned.config)
            self._perform_actions(
                owned, owned.scheduler.set_ownership_uncertain(is_uncertain)
            )

    @singledispatchmethod
    def _on_message(self, message: PeerMessage, sender: str) -> None:
        raise NotImplementedError(type(message))

    @_on_message.register
    def _(self, message: ShardRequest, sender: str) -> None:
        owned = self._servers.get(message.server)
        if owned is None or owned.released:
            self._messenger.send(sender, build_refusal(message, Reason.NOT_OWNER))
            return
        now = self._clock.now()
        if self.crashes.is_held(build_crash_key(message), now):
            self._messenger.send(sender, build_refusal(message, Reason.QUARANTINED))
            return
        self._senders[message.query, message.attempt] = sender
        self._perform_actions(owned, owned.scheduler.submit(message, now))

    @_on_message.register
    def _(self, message: Cancel, sender: str) -> None:
        owned = self._servers.get(message.server)
        if owned is None:
            return
        queued_before = owned.scheduler.queue_length
        actions = owned.scheduler.cancel(message, self._clock.now())
        if owned.scheduler.queue_length < queued_before:
            self._senders.pop((message.query, message.attempt), None)
        self._perform_actions(owned, actions)

    @_on_message.register
    def _(self, message: ServerReleased, sender: str) -> None:
        owned = self._servers.get(message.server)
        if owned is not None:
            now = self._clock.now()
            limit, boot_id = message.limit, message.boot_id
            self._perform_actions(owned, owned.scheduler.take_over(limit, boot_id, now))

    def _acquire_server(
        self, server: str, declared: BackendServer, wait_s: float, now: float
    ) -> OwnedServer:
        known = self._servers.get(server)
        if known is not None and known.declared.address == declared.address:
            known.declared = declared
            known.released = False
            known.scheduler.limit.slots = declared.slots
            known.scheduler.batch = declared.batch
            return known
        scheduler = ServerScheduler(server, declared.slots, declared.batch, now, wait_s)
        owned = OwnedServer(declared, scheduler, self._make_client(declared))
        self._servers[server] = owned
        return owned

    def _release_server(self, server: str) -> None:
        owned = self._servers[server]
        if not owned.released:
            owned.released = True
            self._perform_actions(owned, owned.scheduler.release(Reason.NOT_OWNER))
        self._hand_over_if_idle(owned)

    def _hand_over_if_idle(self, owned: OwnedServer) -> None:
        scheduler = owned.scheduler
        if not owned.released or scheduler.in_flight:
            return
        if self._servers.get(scheduler.server) is owned:
            del self._servers[scheduler.server]
        successor = self._find_owner(scheduler.server)
        if successor is not None and successor != self._name:
            limit = scheduler.limit
            released = ServerReleased(scheduler.server, limit.value, limit.boot_id)
            self._messenger.send(successor, released)

    def _perform_actions(
        self, owned: OwnedServer, actions: list[SchedulerAction]
    ) -> None:
        for action in actions:
            self._perform_action(action, owned)

    @singledispatchmethod
    def _perform_action(self, action: SchedulerAction, owned: OwnedServer) -> None:
        raise NotImplementedError(type(action))

    @_perform_action.register
    def _(self, action: Dispatch, owned: OwnedServer) -> None:
        ensureDeferred(self._call(owned, action))

    @_perform_action.register
    def _(self, action: Refuse, owned: OwnedServer) -> None:
        request = action.request
        sender = self._senders.pop((request.query, request.attempt), None)
        if sender is not None:
            queue = owned.scheduler.queue_length
            self._messenger.send(sender, build_refusal(request, action.reason, queue))

    @_perform_action.register
    def _(self, action: Abort, owned: OwnedServer) -> None:
        cancels = tuple(Cancel(r.query, r.attempt, r.server) for r in action.requests)
        ensureDeferred(owned.client.cancel(cancels))

    @_perform_action.register
    def _(self, action: Abandon, owned: OwnedServer) -> None:
        owned.abandoned.add(action.call)
        owned.calls[action.call].cancel()

    @_perform_action.register
    def _(self, action: WakeAt, owned: OwnedServer) -> None:
        now = self._clock.now()
        if owned.timer is None or not owned.timer.active():
            # The extra 0.5 ms keep the timer from firing just before its time.
            delay = max(0.0, action.at - now) + 0.0005
            owned.timer = self._reactor.callLater(delay, self._wake, owned)

    def _wake(self, owned: OwnedServer) -> None:
        self._perform_actions(
            owned, owned.scheduler.dispatch_waiting(self._clock.now())
        )

    async def _call(self, owned: OwnedServer, dispatch: Dispatch) -> None:
        result = await self._send_requests(owned, dispatch)
        now = self._clock.now()
        if isinstance(result, CallFailed):
            self._record_failure(owned, dispatch, result, now)
        actions = owned.scheduler.finish_call(dispatch.call, result, now)
        self._recorder.count("backend_calls")
        queue = owned.scheduler.queue_length
        for answer in build_answers(dispatch.requests, result, queue):
            sender = self._senders.pop((answer.query, answer.attempt), None)
            if sender is not None and answer.reason is not Reason.CANCELLED:
                self._messenger.send(sender, answer)
            if answer.outcome is not Outcome.ANSWERED:
                self._recorder.count(f"backend_{answer.reason}")
        if not isinstance(result, CallFailed):
            for request in dispatch.requests:
                self.crashes.record_answer(build_crash_key(request))
        self._perform_actions(owned, actions)
        self._hand_over_if_idle(owned)

    async def _send_requests(
        self, owned: OwnedServer, dispatch: Dispatch
    ) -> CallResult:
        call = ensureDeferred(owned.client.send_requests(dispatch.requests))
        owned.calls[dispatch.call] = call
        try:
            result = await call
        except CancelledError:
            result = CallFailed(sent=True, timed_out=True)
        del owned.calls[dispatch.call]
        if dispatch.call in owned.abandoned:
            owned.abandoned.discard(dispatch.call)
            self._recorder.count("silent_connections")
            return CallFailed(sent=True, timed_out=True, silent=True)
        return result

    def _record_failure(
        self, owned: OwnedServer, dispatch: Dispatch, failed: CallFailed, now: float
    ) -> None:
        log.warning(
            "call to a backend server failed",
            extra={
                "server": owned.scheduler.server,
                "sent": failed.sent,
                "timed_out": failed.timed_out,
            },
        )
        if not failed.sent or failed.timed_out:
            return
        server_boot = f"{owned.scheduler.server}/{owned.scheduler.limit.boot_id}"
        for request in dispatch.requests:
            self.crashes.record_loss(build_crash_key(request), server_boot, now)
            self._on_crash(request)
