"""The task that owns backend servers: their connections, limits and queues."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import CancelledError, ensureDeferred

from currantwharf.config import BackendServer, VersionedConfig
from currantwharf.fleet import OwnerResolver
from currantwharf.metrics import Recorder
from currantwharf.node.interfaces import BackendCalls
from currantwharf.node.owned_server import OwnedServer
from currantwharf.node.post import Post
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
    build_refusal,
    crash_key,
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
    """Own the gates of this instance's backend servers and the calls to them."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        name: str,
        router: Router,
        find_owner: Callable[[str], str | None],
        post: Post,
        make_client: Callable[[BackendServer], BackendCalls],
        recorder: Recorder,
        on_crash: Callable[[ShardRequest], None],
    ) -> None:
        self._on_crash = on_crash
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._router = router
        self._owner_of = find_owner
        self._post = post
        self._make_client = make_client
        self._recorder = recorder
        self.crashes = CrashTable()
        self._owned: dict[str, OwnedServer] = {}
        self._senders: dict[tuple[str, int], str] = {}

    def owned(self) -> dict[str, OwnedServer]:
        """Return the servers that this instance holds a gate for."""
        return self._owned

    def idle(self) -> bool:
        """Return whether no request waits or runs."""
        return not self._senders

    def tell(self, message: PeerMessage, sender: str) -> None:
        """Take a message of another instance or of this one."""
        self._on_message(message, sender)

    def sync(self, versioned: VersionedConfig, owners: OwnerResolver) -> None:
        """Take up the servers that are newly owned and let go of the others."""
        now = self._clock.now()
        servers = versioned.config.servers
        centres = versioned.config.data_centres
        mine = {
            name for name in centres if owners.is_candidate_in(name, versioned.config)
        }
        for server in list(self._owned):
            if server not in servers or self._owner_of(server) != self._name:
                self._let_go(server)
        for server, declared in servers.items():
            if declared.data_centre not in mine:
                continue
            if self._owner_of(server) != self._name:
                continue
            owned = self._owned.get(server)
            if owned is None or owned.released or owned.declared != declared:
                silent = owners.has_silent_higher_candidate(server, versioned.config)
                wait_s = SILENT_TAKEOVER_WAIT_S if silent else TAKEOVER_WAIT_S
                owned = self._take_up(server, declared, wait_s, now)
            may_work = self._router.can_receive_work(server, versioned.config)
            self._perform(owned, owned.gate.set_leaving(not may_work))
            doubtful = owners.is_ownership_uncertain(server, versioned.config)
            self._perform(owned, owned.gate.set_ownership_uncertain(doubtful))

    @singledispatchmethod
    def _on_message(self, message: PeerMessage, sender: str) -> None:
        raise NotImplementedError(type(message))

    @_on_message.register
    def _(self, message: ShardRequest, sender: str) -> None:
        owned = self._owned.get(message.server)
        if owned is None or owned.released:
            self._post.send(sender, build_refusal(message, Reason.NOT_OWNER))
            return
        now = self._clock.now()
        if self.crashes.is_held(crash_key(message), now):
            self._post.send(sender, build_refusal(message, Reason.QUARANTINED))
            return
        self._senders[message.query, message.attempt] = sender
        self._perform(owned, owned.gate.submit(message, now))

    @_on_message.register
    def _(self, message: Cancel, sender: str) -> None:
        owned = self._owned.get(message.server)
        if owned is None:
            return
        in_queue = owned.gate.queue_length
        actions = owned.gate.cancel(message, self._clock.now())
        if owned.gate.queue_length < in_queue:
            self._senders.pop((message.query, message.attempt), None)
        self._perform(owned, actions)

    @_on_message.register
    def _(self, message: ServerReleased, sender: str) -> None:
        owned = self._owned.get(message.server)
        if owned is not None:
            now = self._clock.now()
            limit, boot_id = message.limit, message.boot_id
            self._perform(owned, owned.gate.take_over(limit, boot_id, now))

    def _take_up(
        self, server: str, declared: BackendServer, wait_s: float, now: float
    ) -> OwnedServer:
        old = self._owned.get(server)
        if old is not None and old.declared.address == declared.address:
            old.declared = declared
            old.released = False
            old.gate.limit.slots = declared.slots
            old.gate.batch = declared.batch
            return old
        gate = ServerScheduler(server, declared.slots, declared.batch, now, wait_s)
        owned = OwnedServer(declared, gate, self._make_client(declared))
        self._owned[server] = owned
        return owned

    def _let_go(self, server: str) -> None:
        owned = self._owned[server]
        if not owned.released:
            owned.released = True
            self._perform(owned, owned.gate.release(Reason.NOT_OWNER))
        self._hand_over_if_idle(owned)

    def _hand_over_if_idle(self, owned: OwnedServer) -> None:
        gate = owned.gate
        if not owned.released or gate.in_flight:
            return
        if self._owned.get(gate.server) is owned:
            del self._owned[gate.server]
        successor = self._owner_of(gate.server)
        if successor is not None and successor != self._name:
            limit = gate.limit
            released = ServerReleased(gate.server, limit.value, limit.boot_id)
            self._post.send(successor, released)

    def _perform(self, owned: OwnedServer, actions: list[SchedulerAction]) -> None:
        for action in actions:
            self._do(action, owned)

    @singledispatchmethod
    def _do(self, action: SchedulerAction, owned: OwnedServer) -> None:
        raise NotImplementedError(type(action))

    @_do.register
    def _(self, action: Dispatch, owned: OwnedServer) -> None:
        ensureDeferred(self._call(owned, action))

    @_do.register
    def _(self, action: Refuse, owned: OwnedServer) -> None:
        request = action.request
        sender = self._senders.pop((request.query, request.attempt), None)
        if sender is not None:
            queue = owned.gate.queue_length
            self._post.send(sender, build_refusal(request, action.reason, queue))

    @_do.register
    def _(self, action: Abort, owned: OwnedServer) -> None:
        cancels = tuple(Cancel(r.query, r.attempt, r.server) for r in action.requests)
        ensureDeferred(owned.client.cancel(cancels))

    @_do.register
    def _(self, action: Abandon, owned: OwnedServer) -> None:
        owned.abandoned.add(action.call)
        owned.calls[action.call].cancel()

    @_do.register
    def _(self, action: WakeAt, owned: OwnedServer) -> None:
        now = self._clock.now()
        if owned.timer is None or not owned.timer.active():
            delay = max(0.0, action.at - now) + 0.0005
            owned.timer = self._reactor.callLater(delay, self._wake, owned)

    def _wake(self, owned: OwnedServer) -> None:
        self._perform(owned, owned.gate.dispatch_waiting(self._clock.now()))

    async def _call(self, owned: OwnedServer, dispatch: Dispatch) -> None:
        result = await self._ask(owned, dispatch)
        now = self._clock.now()
        if isinstance(result, CallFailed):
            self._note_failure(owned, dispatch, result, now)
        actions = owned.gate.finish_call(dispatch.call, result, now)
        self._recorder.count("backend_calls")
        queue = owned.gate.queue_length
        for answer in build_answers(dispatch.requests, result, queue):
            sender = self._senders.pop((answer.query, answer.attempt), None)
            if sender is not None and answer.reason is not Reason.CANCELLED:
                self._post.send(sender, answer)
            if answer.outcome is not Outcome.ANSWERED:
                self._recorder.count(f"backend_{answer.reason}")
        if not isinstance(result, CallFailed):
            for request in dispatch.requests:
                self.crashes.record_answer(crash_key(request))
        self._perform(owned, actions)
        self._hand_over_if_idle(owned)

    async def _ask(self, owned: OwnedServer, dispatch: Dispatch) -> CallResult:
        asked = ensureDeferred(owned.client.send_requests(dispatch.requests))
        owned.calls[dispatch.call] = asked
        try:
            result = await asked
        except CancelledError:
            result = CallFailed(sent=True, timed_out=True)
        del owned.calls[dispatch.call]
        if dispatch.call in owned.abandoned:
            owned.abandoned.discard(dispatch.call)
            self._recorder.count("silent_connections")
            return CallFailed(sent=True, timed_out=True, silent=True)
        return result

    def _note_failure(
        self, owned: OwnedServer, dispatch: Dispatch, failed: CallFailed, now: float
    ) -> None:
        log.warning(
            "a call to a backend server failed",
            extra={
                "server": owned.gate.server,
                "sent": failed.sent,
                "timed_out": failed.timed_out,
            },
        )
        if not failed.sent or failed.timed_out:
            return
        boot = f"{owned.gate.server}/{owned.gate.limit.boot_id}"
        for request in dispatch.requests:
            self.crashes.record_loss(crash_key(request), boot, now)
            self._on_crash(request)
