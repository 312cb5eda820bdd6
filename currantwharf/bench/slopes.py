"""Measure the pure parts at several sizes, up to the target's, in one process."""

import random
import tracemalloc
from collections.abc import Callable
from time import process_time

import msgspec

from currantwharf.bench.points import Series
from currantwharf.config import VersionedConfig, parse_config
from currantwharf.demo.site_plan import SitePlan, build_config, encode
from currantwharf.fleet import InstanceList, ListedInstance, Membership, OwnerResolver
from currantwharf.owner import BackendAnswer, Dispatch, ItemOutcome, ServerScheduler
from currantwharf.owner.call_result import BackendItem
from currantwharf.query import (
    CallerRequest,
    ClassController,
    Router,
    RunningQuery,
    SendToOwner,
)
from currantwharf.wire import (
    Ack,
    Hit,
    Outcome,
    Reason,
    ShardAnswer,
    ShardRequest,
    decode_envelope,
    encode_envelope,
    list_messages,
)

CENTRES = ("c1", "c2", "c3", "c4", "c5", "c6", "c7")
FLEET_SIZES = (9, 27, 81, 243, 710)  # instances
SERVER_SIZES = (100, 400, 1000, 2900)  # backend servers
FAN_OUTS = (10, 50, 200, 500)  # shards of a query
BATCHES = (1, 16, 64, 256)  # messages in one envelope
LEAST_S = 0.2  # seconds that each point is measured for


def measure_slopes() -> list[Series]:
    """Measure every series and return them."""
    return [
        _series("envelope", "messages", "us", BATCHES, _envelope_us),
        _series("query", "shards", "us", FAN_OUTS, _query_us),
        _series("gate", "requests", "us", BATCHES, _gate_us),
        _series("heartbeat", "instances", "us", FLEET_SIZES, _heartbeat_us),
        _series("membership", "instances", "kB", FLEET_SIZES, _membership_kb),
        _series("owners", "servers", "ms", SERVER_SIZES, _owners_ms),
        _series("config_parse", "servers", "ms", SERVER_SIZES, _config_ms),
        _series("config_bytes", "servers", "kB", SERVER_SIZES, _config_kb),
        _series("config_memory", "servers", "kB", SERVER_SIZES, _config_memory_kb),
    ]


def _series(
    name: str,
    size_unit: str,
    value_unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Series:
    points = tuple((float(size), round(measure(size), 3)) for size in sizes)
    return Series(name, size_unit, value_unit, points)


def _time_s(run: Callable[[], object]) -> float:
    """Return the processor time of one run in seconds, as the mean of many."""
    runs = 0
    began = process_time()
    while process_time() - began < LEAST_S:
        run()
        runs += 1
    return (process_time() - began) / runs


def _request(number: int) -> ShardRequest:
    return ShardRequest(
        f"i1.0123456789abcdef.{number}",
        1,
        "grain-lookup",
        f"camphor/{number}",
        f"camphor-{number}-0",
        "index-1",
        250.0,
        True,
        "0123456789abcdef0123456789abcdef",
        msgspec.Raw(b'{"text":"longan board 40 cm"}'),
    )


def _answer(request: ShardRequest) -> ShardAnswer:
    hits = tuple(Hit(f"{request.shard}/{n}", 0.5, "a line of text") for n in range(2))
    return ShardAnswer(
        request.query,
        request.attempt,
        request.shard,
        request.server,
        request.index_version,
        Outcome.ANSWERED,
        Reason.NONE,
        hits,
        10.0,
        0,
    )


def _envelope_us(size: int) -> float:
    """One request and its answer each: packed, unpacked and listed."""
    requests = [_request(number) for number in range(size)]
    answers = [_answer(request) for request in requests]

    def run() -> None:
        list_messages(decode_envelope(encode_envelope("i1", "b", list(requests))))
        list_messages(decode_envelope(encode_envelope("i2", "b", list(answers))))

    return _time_s(run) * 1e6


def _plan(shards: int, replicas: int = 2) -> SitePlan:
    return SitePlan(CENTRES, ("camphor",), shards=shards, replicas=replicas)


def _query_us(fan_out: int) -> float:
    """A whole query at the entry: planned, sent, answered and merged."""
    versioned = VersionedConfig(1, build_config(_plan(fan_out)), b"")
    router = Router(
        lambda: versioned, lambda s, c: "i1", lambda p: False, lambda s: False
    )
    targets = versioned.config.classes["grain-lookup"].targets
    controller = ClassController(targets, 1.0)
    rng = random.Random(1)
    body = msgspec.Raw(b"{}")
    request = CallerRequest("r", "grain-lookup", "c", 2.0, 0.0, False, "r", "f", body)

    def run() -> None:
        query = RunningQuery("q", request, router, controller, rng, 1.0)
        for action in query.start(1.0):
            assert isinstance(action, SendToOwner)
            assert isinstance(action.message, ShardRequest)
            query.receive(_answer(action.message), 1.01)
            query.next_wake(1.01)

    return _time_s(run) * 1e6


def _gate_us(size: int) -> float:
    """Requests at the owner: queued, sent in calls of up to 16, and answered."""
    requests = [_request(number) for number in range(size)]

    def run() -> None:
        gate = ServerScheduler("s", 2, 16, 0.0, 0.0)
        calls: list[Dispatch] = []
        for request in requests:
            calls.extend(
                a for a in gate.submit(request, 1.0) if isinstance(a, Dispatch)
            )
        while calls:
            call = calls.pop()
            items = tuple(
                BackendItem(r.query, 1, r.shard, r.index_version, ItemOutcome.ANSWERED)
                for r in call.requests
            )
            actions = gate.finish_call(call.call, BackendAnswer("b", items, 10.0), 1.0)
            calls.extend(a for a in actions if isinstance(a, Dispatch))

    return _time_s(run) * 1e6


def _membership(size: int) -> Membership:
    membership = Membership("i0", "b", random.Random(1))
    listed = {
        f"i{n}": ListedInstance(f"10.0.{n // 256}.{n % 256}:9", CENTRES[n % 7])
        for n in range(size)
    }
    membership.adopt_list(InstanceList(1, listed), 0.0)
    for number in range(1, size):
        membership.record_ack(Ack(f"i{number}", "b", 0, True, False, 1, 1), 0.0)
    return membership


def _heartbeat_us(size: int) -> float:
    """One probe period: a tick, a heartbeat packed and read, an answer heard."""
    membership = _membership(size)
    ack = Ack("i1", "b", 0, True, False, 1, 1)
    while membership.heartbeat(ack).news:
        # The news of the fleet's start are spread before the time is taken.
        pass

    def run() -> None:
        membership.tick(1.0)
        heartbeat = membership.heartbeat(ack)
        decode_envelope(encode_envelope("i0", "b", [heartbeat]))
        membership.record_ack(ack, 1.0)

    return _time_s(run) * 1e6


def _membership_kb(size: int) -> float:
    return _memory_kb(lambda: _membership(size))


def _owners_ms(servers: int) -> float:
    """The owners of one data centre's servers among its share of 710 instances."""
    config = build_config(_plan(servers, replicas=1))
    owners = OwnerResolver(_membership(710), "c1")
    owners.set_self_usable(True)
    here = [n for n, s in config.servers.items() if s.data_centre == "c1"]

    def run() -> None:
        owners.clear_cache()
        for server in here:
            owners.find_owner(server, config)

    return _time_s(run) * 1e3


def _config_document(servers: int) -> bytes:
    return encode(build_config(_plan(servers, replicas=1)))


def _config_ms(servers: int) -> float:
    document = _config_document(servers)
    return _time_s(lambda: parse_config(1, document)) * 1e3


def _config_kb(servers: int) -> float:
    return len(_config_document(servers)) / 1000


def _config_memory_kb(servers: int) -> float:
    document = _config_document(servers)
    return _memory_kb(lambda: parse_config(1, document).unwrap())


def _memory_kb(make: Callable[[], object]) -> float:
    make()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000
