"""Compute the tables of docs/CAPACITY.md from measured points."""

from dataclasses import dataclass

from currantwharf.bench.points import FittedLine, Series, fit_line
from currantwharf.fleet import READERS_PER_DATA_CENTRE
from currantwharf.node.platform_reader import WATCH_WAIT_S

CORE_US_PER_S = 1e6
DAY_S = 86_400
HTTP_HEADER_BYTES = 350  # of one exchange between instances, both directions together
CONFIG_TRANSFERS = 2  # a daemon fetches each configuration once and serves it once
CHANGES_PER_FAILURE = 3  # suspected, dead and alive again
MAX_PLATFORM_CALLS_PER_S = 2000
SPOT_CHECKS_PER_S = 2  # in each data centre, one for each published value
PEER_CALL_S = 0.015  # typical duration of a call between instances
RELAY_BATCH_S = 0.02  # a relay collects messages for this long before it sends them
WATCHED_VALUES = 2  # published values that the readers watch


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet and its load.

    `queries` is a rate per second; each query goes to `fan_out` shards. `changes` and
    `replaced` are the configuration changes and the replaced daemons per day.
    """

    name: str
    daemons: int
    servers: int
    queries: float
    fan_out: int
    data_centres: int
    changes: int
    replaced: int


TODAY = FleetSize("today", 9, 106, 25.0, 20, 3, 10, 5)
TARGET = FleetSize("target", 710, 2900, 110_000.0, 500, 7, 430, 227)


@dataclass(frozen=True, slots=True)
class LoadTerm:
    """One part of the load of a daemon, in cores of processor time."""

    name: str
    today: float
    target: float
    mechanism: str


def render_tables(series: list[Series]) -> str:
    """Return the generated part of the page as Markdown."""
    fits = {entry.name: fit_line(entry) for entry in series}
    sections = [
        "### Slopes\n",
        _format_slopes(series, fits),
        "\n### Processor time of a daemon for the load, in cores\n",
        _format_terms(_compute_load_terms(fits)),
        "\n### Calls between instances by relays, a call in 20 ms on each link\n",
        _format_relays(fits),
        "\n### Control of a daemon\n",
        _format_control(fits),
    ]
    return "\n".join(sections)


def _format_slopes(series: list[Series], fits: dict[str, FittedLine]) -> str:
    rows = ["| series | points | slope | residual |", "|---|---|---|---|"]
    for entry in series:
        line = fits[entry.name]
        points = ", ".join(f"{x:g}: {y:g}" for x, y in entry.points)
        unit = f"{entry.value_unit} for each of {entry.size_unit}"
        slope = f"{line.slope:.3g} {unit}, from {line.intercept:.3g}"
        rows.append(f"| {entry.name} | {points} | {slope} | {line.residual:.0%} |")
    return "\n".join(rows)


def _compute_load_terms(fits: dict[str, FittedLine]) -> list[LoadTerm]:
    def shards_per_s(size: FleetSize) -> float:
        return size.queries * size.fan_out / size.daemons

    def make_term(
        name: str, cost_us: float, batch_sizes: tuple[int, int], mechanism: str
    ) -> LoadTerm:
        rates = [
            shards_per_s(TODAY) / batch_sizes[0],
            shards_per_s(TARGET) / batch_sizes[1],
        ]
        today, target = (rate * cost_us / CORE_US_PER_S for rate in rates)
        return LoadTerm(name, today, target, mechanism)

    call_us = fits["fanout_cpu"].slope * 1000
    both_ends_us = 2 * call_us
    return [
        make_term("entry: decisions", fits["query"].slope, (1, 1), "running query"),
        make_term("codec of envelopes", fits["envelope"].slope, (1, 1), "envelopes"),
        make_term("owner: gate", fits["gate"].slope, (1, 1), "server gate"),
        make_term("calls to servers", call_us, (1, 256), "`batch` in one call"),
        make_term(
            "calls between instances, each to each",
            both_ends_us,
            _messages_per_call(),
            "outbox for each peer, answers on the reply",
        ),
    ]


def _messages_per_call() -> tuple[int, int]:
    """Return the messages that share a call between two instances, today and at target.

    Today the shards of a query share one call to each owner. At the target a daemon
    sends so few messages per second to each of its 709 peers that nearly every message
    is sent in a call of its own.
    """
    peers = TODAY.daemons - 1
    messages_per_s = TARGET.queries * TARGET.fan_out / TARGET.daemons / TARGET.daemons
    return max(1, TODAY.fan_out // peers), max(1, int(messages_per_s * PEER_CALL_S))


def _compute_relay_cores(fits: dict[str, FittedLine], links: int) -> float:
    """Return the cores that a daemon spends on `links` with a call every 20 ms each."""
    call_us = 2 * fits["fanout_cpu"].slope * 1000
    return links / RELAY_BATCH_S * call_us / CORE_US_PER_S


def _format_terms(terms: list[LoadTerm]) -> str:
    rows = ["| term | today | target | carried by |", "|---|---|---|---|"]
    for term in terms:
        row = (
            f"| {term.name} | {term.today:.3f} | {term.target:.2f} | {term.mechanism} |"
        )
        rows.append(row)
    today = sum(term.today for term in terms)
    target = sum(term.target for term in terms)
    rows.append(f"| all | {today:.3f} | {target:.2f} | one core a process |")
    return "\n".join(rows)


def _format_relays(fits: dict[str, FittedLine]) -> str:
    local_daemons = TARGET.daemons // TARGET.data_centres
    group_size = round(local_daemons**0.5)
    data_centres = TARGET.data_centres
    rows = ["| way | links of a daemon | cores at the target |", "|---|---|---|"]
    for name, links in (
        ("one relay in each data centre", data_centres + local_daemons),
        ("two levels of relays in each data centre", data_centres + 2 * group_size),
    ):
        rows.append(f"| {name} | {links} | {_compute_relay_cores(fits, links):.2f} |")
    return "\n".join(rows)


def _format_control(fits: dict[str, FittedLine]) -> str:
    rows = ["| budget | today | target | allowed | margin |", "|---|---|---|---|---|"]
    for name, allowed, compute in (
        ("processor, share of a core", 0.025, _compute_control_cpu),
        ("bytes a second", 25_000, _compute_control_bytes),
        ("memory, MB", 128, _compute_control_memory),
        ("platform calls a second", MAX_PLATFORM_CALLS_PER_S, _compute_platform_calls),
        ("seconds to in force everywhere", 10, _compute_time_in_force),
    ):
        today, target = compute(fits, TODAY), compute(fits, TARGET)
        margin = allowed / target
        rows.append(
            f"| {name} | {today:.4g} | {target:.4g} | {allowed:g} | {margin:.1f}x |"
        )
    return "\n".join(rows)


def _compute_control_cpu(fits: dict[str, FittedLine], size: FleetSize) -> float:
    idle = fits["idle_cpu"].predict(9) / 1000
    heartbeat = 2 * fits["heartbeat"].slope * size.daemons / CORE_US_PER_S
    configs = size.changes * fits["config_parse"].predict(size.servers) / 1000 / DAY_S
    ownership_changes = size.replaced * CHANGES_PER_FAILURE
    owners = ownership_changes * fits["owners"].predict(size.servers) / 1000 / DAY_S
    return idle + heartbeat + configs + owners


def _compute_control_bytes(fits: dict[str, FittedLine], size: FleetSize) -> float:
    probes = fits["control_bytes"].predict(size.daemons) + 2 * 2 * HTTP_HEADER_BYTES
    document = fits["config_bytes"].predict(size.servers) * 1000
    return probes + CONFIG_TRANSFERS * size.changes * document / DAY_S


def _compute_control_memory(fits: dict[str, FittedLine], size: FleetSize) -> float:
    base = fits["idle_memory"].predict(9)
    members = fits["membership"].predict(size.daemons) / 1000
    config = fits["config_memory"].predict(size.servers) / 1000
    # Two configurations are in memory while a running query still uses the old one.
    return base + members + 2 * config


def _compute_platform_calls(fits: dict[str, FittedLine], size: FleetSize) -> float:
    watches_per_s = READERS_PER_DATA_CENTRE * WATCHED_VALUES / WATCH_WAIT_S
    return size.data_centres * (watches_per_s + SPOT_CHECKS_PER_S)


def _compute_time_in_force(fits: dict[str, FittedLine], size: FleetSize) -> float:
    return fits["in_force_s"].predict(size.daemons)
