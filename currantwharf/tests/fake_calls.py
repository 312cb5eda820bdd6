"""Fakes of the three interfaces that an instance calls out through."""

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import Deferred, TimeoutError, maybeDeferred
from twisted.internet.error import ConnectionRefusedError

from currantwharf.fleet import InstanceList
from currantwharf.owner import BackendAnswer, CallFailed, CallResult
from currantwharf.standin import Work
from currantwharf.wire import (
    Cancel,
    MemberUpdate,
    Reply,
    ShardRequest,
    decode_envelope,
    decode_reply,
)

if TYPE_CHECKING:
    from currantwharf.tests.fake_world import FakeWorld

HOP_S = 0.0005  # seconds one way
CRASH = "crash"  # the text that crashes a server of the shard it reaches
CRASH_S = 0.002  # seconds
PEER_TIMEOUT_S = 1.0  # seconds


def settle_once(done: "Deferred[Any]", call: Any, value: Any) -> None:
    """Give a call its answer or its end, whichever comes first."""
    if not done.called:
        call(value)


class FakePeers:
    """Carry calls between the instances of a fake world."""

    def __init__(self, world: "FakeWorld", name: str) -> None:
        self._world = world
        self._name = name

    async def post(self, address: str, envelope: bytes) -> Reply:
        body = await self._call(
            address, lambda i: i.receive_envelope(decode_envelope(envelope))
        )
        return decode_reply(body)

    async def get_config(self, address: str) -> tuple[int, bytes]:
        held = await self._call(address, lambda instance: instance.current_config())
        return held.version, held.document

    async def get_instance_list(self, address: str) -> InstanceList:
        return await self._call(
            address, lambda instance: instance.current_instance_list()
        )

    async def get_members(self, address: str) -> tuple[MemberUpdate, ...]:
        return await self._call(address, lambda instance: instance.member_updates())

    def _call(self, address: str, ask: Any) -> "Deferred[Any]":
        """Deliver a call after a hop; what a cut or a pause loses times out."""
        world, clock = self._world, self._world.clock
        done: Deferred[Any] = Deferred()
        if address not in world.nodes:
            clock.callLater(0, done.errback, ConnectionRefusedError())
            return done
        caller, callee = world.reactors[self._name], world.reactors[address]

        def settle(call: Any, value: Any) -> None:
            caller.run(settle_once, done, call, value)

        def answer() -> None:
            if address not in world.nodes:
                return
            asked = maybeDeferred(ask, world.nodes[address])
            asked.addCallbacks(succeeded, failed)

        def succeeded(found: Any) -> None:
            alive = address in world.nodes
            if alive and (address, self._name) not in world.cut:
                clock.callLater(HOP_S, settle, done.callback, found)

        def failed(failure: Any) -> None:
            clock.callLater(HOP_S, settle, done.errback, failure.value)

        if (self._name, address) not in world.cut:
            clock.callLater(HOP_S, callee.run, answer)
        clock.callLater(PEER_TIMEOUT_S, settle, done.errback, TimeoutError())
        return done


class FakePlatform:
    """Read the world's published values, while the platform is up."""

    def __init__(self, world: "FakeWorld", name: str) -> None:
        self._world = world
        self._name = name

    async def watch_config(self, after: int, wait_s: float) -> tuple[int, bytes] | None:
        value = await self._watch("config", after, wait_s)
        return None if value is None else (value.version, value.document)

    async def watch_instance_list(
        self, after: int, wait_s: float
    ) -> InstanceList | None:
        value = await self._watch("instances", after, wait_s)
        if value is None:
            return None
        fields = msgspec.json.decode(value.document)
        fields["revision"] = value.version
        return msgspec.convert(fields, InstanceList)

    async def _watch(self, name: str, after: int, wait_s: float) -> Any:
        world = self._world
        value = world.stale.get(name, world.platform.values[name])
        if value.version <= after and wait_s > 0 and not world.platform.down:
            await value.wait(world.clock, wait_s)
        await world.pass_time(HOP_S, self._name)
        if world.platform.down or self._name in world.cut_from_platform:
            raise ConnectionRefusedError
        return value if value.version > after else None


class FakeBackend:
    """Call one of the world's stand-in backend servers."""

    def __init__(self, world: "FakeWorld", caller: str, server: str) -> None:
        self._world = world
        self._caller = caller
        self._server = server

    async def send_requests(self, requests: tuple[ShardRequest, ...]) -> CallResult:
        world = self._world
        await world.pass_time(HOP_S, self._caller)
        backend = world.backends.get(self._server)
        if backend is None:
            return CallFailed(sent=False)
        started = world.clock.seconds()
        works = [
            Work(
                req.query,
                req.attempt,
                req.shard,
                req.index_version,
                req.budget_ms,
                req.idempotent,
                msgspec.json.decode(req.body),
            )
            for req in requests
        ]
        done: Deferred[CallResult] = Deferred()
        world.backend_calls.append((self._server, started))

        caller = world.reactors[self._caller]

        def settle(result: CallResult) -> None:
            caller.run(settle_once, done, done.callback, result)

        if any(work.body.get("text") == CRASH for work in works):
            world.clock.callLater(CRASH_S, world.lose_backend, self._server)
        items = [backend.submit(work, started) for work in works]
        assert len(items) == 1, "the fake carries one request in a call"

        def answered(item: Any) -> None:
            if self._server in world.crossed:
                # Another query's answer comes back on this connection.
                hits = tuple(replace(hit, text="crossed") for hit in item.hits)
                item = replace(item, query="another", hits=hits)
            took_ms = (world.clock.seconds() - started) * 1000
            leaving = backend.fault.draining
            settle(BackendAnswer(backend.boot_id, (item,), took_ms, leaving))

        items[0].addCallback(answered)
        world.losses.setdefault(self._server, []).append(
            lambda: settle(CallFailed(sent=True))
        )
        timeout_s = requests[0].budget_ms / 1000
        world.clock.callLater(timeout_s, settle, CallFailed(True, timed_out=True))
        return await done

    async def cancel(self, cancels: tuple[Cancel, ...]) -> None:
        backend = self._world.backends.get(self._server)
        for cancel in cancels:
            if backend is not None:
                now = self._world.clock.seconds()
                backend.cancel(cancel.query, cancel.attempt, now)
