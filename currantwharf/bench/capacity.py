"""Work the numbers of docs/CAPACITY.md out from the measured points."""

from dataclasses import dataclass

from currantwharf.bench.points import Line, Series, fit
from currantwharf.fleet import READERS_PER_DATA_CENTRE
from currantwharf.node.platform_reader import WATCH_WAIT_S

CORE_US = 1e6  # microseconds of one core in a second
DAY_S = 86_400  # seconds
HTTP_HEAD_BYTES = 350  # bytes of headers of one exchange between instances, both ways
CONFIG_FETCHES = 2  # a daemon fetches each configuration once and serves it once
CHANGES_PER_FAILURE = 3  # suspected, dead, back
PLATFORM_LIMIT = 2000  # calls a second
SPOT_CHECKS = 2  # a second in each data centre, one for each published value
REPLY_S = 0.015  # seconds that a call between instances is open, as a rule
RELAY_BATCH_S = 0.02  # seconds for which a relay collects
VALUES = 2  # published values that are watched


@dataclass(frozen=True, slots=True)
class Size:
    """Hold the size of a fleet and its load."""

    name: str
    daemons: int
    servers: int
    queries: float
    fan_out: int
    data_centres: int
    changes: int
    replaced: int


TODAY = Size("today", 9, 106, 25.0, 20, 3, 10, 5)
TARGET = Size("target", 710, 2900, 110_000.0, 500, 7, 430, 227)


@dataclass(frozen=True, slots=True)
class Term:
    """Hold one term of a daemon's load, as cores of processor time."""

    name: str
    today: float
    target: float
    mechanism: str


def render(series: list[Series]) -> str:
    """Return the generated part of the page, as Markdown."""
    lines = {one.name: fit(one) for one in series}
    parts = [
        "### Slopes\n",
        _slopes_table(series, lines),
        "\n### Processor time of a daemon for the load, in cores\n",
        _terms_table(_load_terms(lines)),
        "\n### Calls between instances by relays, a call in 20 ms on each link\n",
        _relay_table(lines),
        "\n### Control of a daemon\n",
        _control_table(lines),
    ]
    return "\n".join(parts)


def _slopes_table(series: list[Series], lines: dict[str, Line]) -> str:
    rows = ["| series | points | slope | residual |", "|---|---|---|---|"]
    for one in series:
        line = lines[one.name]
        points = ", ".join(f"{x:g}: {y:g}" for x, y in one.points)
        unit = f"{one.value_unit} for each of {one.size_unit}"
        slope = f"{line.slope:.3g} {unit}, from {line.intercept:.3g}"
        rows.append(f"| {one.name} | {points} | {slope} | {line.residual:.0%} |")
    return "\n".join(rows)


def _load_terms(lines: dict[str, Line]) -> list[Term]:
    def shard_rate(size: Size) -> float:
        return size.queries * size.fan_out / size.daemons

    def term(name: str, us: float, batch: tuple[int, int], mechanism: str) -> Term:
        rates = [shard_rate(TODAY) / batch[0], shard_rate(TARGET) / batch[1]]
        today, target = (rate * us / CORE_US for rate in rates)
        return Term(name, today, target, mechanism)

    call_us = lines["fanout_cpu"].slope * 1000
    both_ends_us = 2 * call_us
    return [
        term("entry: decisions", lines["query"].slope, (1, 1), "running query"),
        term("codec of envelopes", lines["envelope"].slope, (1, 1), "envelopes"),
        term("owner: gate", lines["gate"].slope, (1, 1), "server gate"),
        term("calls to servers", call_us, (1, 256), "`batch` in one call"),
        term(
            "calls between instances, each to each",
            both_ends_us,
            _per_call(),
            "outbox for each peer, answers on the reply",
        ),
    ]


def _per_call() -> tuple[int, int]:
    """Return how many messages share a call between two instances.

    Today a query's shards share one call to each owner. At the target a daemon has so
    few messages a second for each of 709 peers that nearly each travels alone.
    """
    peers = TODAY.daemons - 1
    per_peer = TARGET.queries * TARGET.fan_out / TARGET.daemons / TARGET.daemons
    return max(1, TODAY.fan_out // peers), max(1, int(per_peer * REPLY_S))


def _relayed_cores(lines: dict[str, Line], links: int) -> float:
    """Return the cores for calls over `links`, each with a call in every 20 ms."""
    call_us = 2 * lines["fanout_cpu"].slope * 1000
    return links / RELAY_BATCH_S * call_us / CORE_US


def _terms_table(terms: list[Term]) -> str:
    rows = ["| term | today | target | carried by |", "|---|---|---|---|"]
    for one in terms:
        row = f"| {one.name} | {one.today:.3f} | {one.target:.2f} | {one.mechanism} |"
        rows.append(row)
    today = sum(one.today for one in terms)
    target = sum(one.target for one in terms)
    rows.append(f"| all | {today:.3f} | {target:.2f} | one core a process |")
    return "\n".join(rows)


def _relay_table(lines: dict[str, Line]) -> str:
    near = TARGET.daemons // TARGET.data_centres
    step = round(near**0.5)
    far = TARGET.data_centres
    rows = ["| way | links of a daemon | cores at the target |", "|---|---|---|"]
    for name, links in (
        ("one relay in each data centre", far + near),
        ("two levels of relays in each data centre", far + 2 * step),
    ):
        rows.append(f"| {name} | {links} | {_relayed_cores(lines, links):.2f} |")
    return "\n".join(rows)


def _control_table(lines: dict[str, Line]) -> str:
    rows = ["| budget | today | target | allowed | margin |", "|---|---|---|---|---|"]
    for name, allowed, figure in (
        ("processor, share of a core", 0.025, _control_cpu),
        ("bytes a second", 25_000, _control_bytes),
        ("memory, MB", 128, _control_memory),
        ("platform calls a second", PLATFORM_LIMIT, _platform_calls),
        ("seconds to in force everywhere", 10, _in_force),
    ):
        today, target = figure(lines, TODAY), figure(lines, TARGET)
        margin = allowed / target
        rows.append(
            f"| {name} | {today:.4g} | {target:.4g} | {allowed:g} | {margin:.1f}x |"
        )
    return "\n".join(rows)


def _control_cpu(lines: dict[str, Line], size: Size) -> float:
    idle = lines["idle_cpu"].at(9) / 1000
    heartbeat = 2 * lines["heartbeat"].slope * size.daemons / CORE_US
    configs = size.changes * lines["config_parse"].at(size.servers) / 1000 / DAY_S
    moves = size.replaced * CHANGES_PER_FAILURE
    owners = moves * lines["owners"].at(size.servers) / 1000 / DAY_S
    return idle + heartbeat + configs + owners


def _control_bytes(lines: dict[str, Line], size: Size) -> float:
    probes = lines["control_bytes"].at(size.daemons) + 2 * 2 * HTTP_HEAD_BYTES
    document = lines["config_bytes"].at(size.servers) * 1000
    return probes + CONFIG_FETCHES * size.changes * document / DAY_S


def _control_memory(lines: dict[str, Line], size: Size) -> float:
    base = lines["idle_memory"].at(9)
    members = lines["membership"].at(size.daemons) / 1000
    config = lines["config_memory"].at(size.servers) / 1000
    # The old and the new configuration are held while a query still pins the old.
    return base + members + 2 * config


def _platform_calls(lines: dict[str, Line], size: Size) -> float:
    watches = READERS_PER_DATA_CENTRE * VALUES / WATCH_WAIT_S
    return size.data_centres * (watches + SPOT_CHECKS)


def _in_force(lines: dict[str, Line], size: Size) -> float:
    return lines["in_force_s"].at(size.daemons)
