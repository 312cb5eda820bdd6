"""Cost of the parts without I/O, measured in one process up to the target size."""

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

DATA_CENTRES = ("c1", "c2", "c3", "c4", "c5", "c6", "c7")
FLEET_SIZES = (9, 27, 81, 243, 710)  # instances
SERVER_SIZES = (100, 400, 1000, 2900)  # backend servers
FAN_OUTS = (10, 50, 200, 500)  # shards per query
BATCH_SIZES = (1, 16, 64, 256)  # messages per envelope, or requests per scheduler
MIN_MEASURED_S = 0.2  # processor time spent on each point, at least


def measure_slopes() -> list[Series]:
    """Measure every series and return all of them."""
    return [
        _measure_series(
            "envelope", "messages", "us", BATCH_SIZES, _measure_envelope_us
        ),
        _measure_series("query", "shards", "us", FAN_OUTS, _measure_query_us),
        _measure_series("gate", "requests", "us", BATCH_SIZES, _measure_scheduler_us),
        _measure_series(
            "heartbeat", "instances", "us", FLEET_SIZES, _measure_heartbeat_us
        ),
        _measure_series(
            "membership", "instances", "kB", FLEET_SIZES, _measure_membership_kb
        ),
        _measure_series("owners", "servers", "ms", SERVER_SIZES, _measure_owners_ms),
        _measure_series(
            "config_parse", "servers", "ms", SERVER_SIZES, _measure_config_parse_ms
        ),
        _measure_series(
            "config_bytes", "servers", "kB", SERVER_SIZES, _measure_config_kb
        ),
        _measure_series(
            "config_memory", "servers", "kB", SERVER_SIZES, _measure_config_memory_kb
        ),
    ]


def _measure_series(
    name: str,
    size_unit: str,
    value_unit: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Series:
    points = tuple((float(size), round(measure(size), 3)) for size in sizes)
    return Series(name, size_unit, value_unit, points)


def _measure_cpu_s(run: Callable[[], object]) -> float:
    """Return the mean processor time of a run, in seconds."""
    runs = 0
    started_at = process_time()
    while process_time() - started_at < MIN_MEASURED_S:
        run()
        runs += 1
    return (process_time() - started_at) / runs


def _make_request(number: int) -> ShardRequest:
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


def _make_answer(request: ShardRequest) -> ShardAnswer:
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


def _measure_envelope_us(size: int) -> float:
    """Measure envelopes: requests and their answers encoded, decoded and listed."""
    requests = [_make_request(number) for number in range(size)]
    answers = [_make_answer(request) for request in requests]

    def run() -> None:
        list_messages(decode_envelope(encode_envelope("i1", "b", list(requests))))
        list_messages(decode_envelope(encode_envelope("i2", "b", list(answers))))

    return _measure_cpu_s(run) * 1e6


def _make_plan(shards: int, replicas: int = 2) -> SitePlan:
    return SitePlan(DATA_CENTRES, ("camphor",), shards=shards, replicas=replicas)


def _measure_query_us(fan_out: int) -> float:
    """Measure a query at the entry instance: planned, sent, answered and merged."""
    versioned = VersionedConfig(1, build_config(_make_plan(fan_out)), b"")
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
            query.receive(_make_answer(action.message), 1.01)
            query.next_wake_at(1.01)

    return _measure_cpu_s(run) * 1e6


def _measure_scheduler_us(size: int) -> float:
    """Measure requests at the owner: queued, sent up to 16 per call, and answered."""
    requests = [_make_request(number) for number in range(size)]

    def run() -> None:
        scheduler = ServerScheduler("s", 2, 16, 0.0, 0.0)
        calls: list[Dispatch] = []
        for request in requests:
            calls.extend(
                a for a in scheduler.submit(request, 1.0) if isinstance(a, Dispatch)
            )
        while calls:
            call = calls.pop()
            items = tuple(
                BackendItem(r.query, 1, r.shard, r.index_version, ItemOutcome.ANSWERED)
                for r in call.requests
            )
            actions = scheduler.finish_call(
                call.call, BackendAnswer("b", items, 10.0), 1.0
            )
            calls.extend(a for a in actions if isinstance(a, Dispatch))

    return _measure_cpu_s(run) * 1e6


def _make_membership(size: int) -> Membership:
    membership = Membership("i0", "b", random.Random(1))
    listed = {
        f"i{n}": ListedInstance(f"10.0.{n // 256}.{n % 256}:9", DATA_CENTRES[n % 7])
        for n in range(size)
    }
    membership.adopt_list(InstanceList(1, listed), 0.0)
    for number in range(1, size):
        membership.record_ack(Ack(f"i{number}", "b", 0, True, False, 1, 1), 0.0)
    return membership


def _measure_heartbeat_us(size: int) -> float:
    """Measure a probe period: a tick, a heartbeat encoded and decoded, and its ack."""
    membership = _make_membership(size)
    ack = Ack("i1", "b", 0, True, False, 1, 1)
    while membership.build_heartbeat(ack).news:
        # Updates queued by the start of the fleet are sent before the measurement.
        pass

    def run() -> None:
        membership.tick(1.0)
        heartbeat = membership.build_heartbeat(ack)
        decode_envelope(encode_envelope("i0", "b", [heartbeat]))
        membership.record_ack(ack, 1.0)

    return _measure_cpu_s(run) * 1e6


def _measure_membership_kb(size: int) -> float:
    return _measure_memory_kb(lambda: _make_membership(size))


def _measure_owners_ms(servers: int) -> float:
    """Measure finding the owners of the servers of one data centre.

    The instances of the data centre are its share of a fleet of 710.
    """
    config = build_config(_make_plan(servers, replicas=1))
    owners = OwnerResolver(_make_membership(710), "c1")
    owners.set_self_usable(True)
    local_servers = [n for n, s in config.servers.items() if s.data_centre == "c1"]

    def run() -> None:
        owners.clear_cache()
        for server in local_servers:
            owners.find_owner(server, config)

    return _measure_cpu_s(run) * 1e3


def _encode_config(servers: int) -> bytes:
    return encode(build_config(_make_plan(servers, replicas=1)))


def _measure_config_parse_ms(servers: int) -> float:
    document = _encode_config(servers)
    return _measure_cpu_s(lambda: parse_config(1, document)) * 1e3


def _measure_config_kb(servers: int) -> float:
    return len(_encode_config(servers)) / 1000


def _measure_config_memory_kb(servers: int) -> float:
    document = _encode_config(servers)
    return _measure_memory_kb(lambda: parse_config(1, document).unwrap())


def _measure_memory_kb(make: Callable[[], object]) -> float:
    # Memory that only a first call allocates is not measured.
    make()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1000
