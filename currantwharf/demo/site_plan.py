"""The plan of a site on loopback: instances, backend servers and their addresses."""

import dataclasses
from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml
from result import Result

from currantwharf.config import (
    BackendServer,
    DataCentre,
    InvalidDocument,
    PublishedConfig,
    RequestClass,
    Service,
    Targets,
    load_document,
)
from currantwharf.fleet import InstanceList, ListedInstance
from currantwharf.settings import Settings

HOST = "127.0.0.1"
# Offsets from the first port of a plan.
PLATFORM_PORT_OFFSET = 0
CONTROL_PORT_OFFSET = 1
BACKEND_PORT_OFFSET = 400
INSTANCE_PORT_OFFSET = 10
PORTS_PER_INSTANCE = 3


@dataclass(frozen=True, slots=True)
class SitePlan:
    """The size, timing and targets of a site.

    Each of `services` and `ledgers` has `shards` shards with `replicas` replicas, each
    replica of a shard in another data centre while there are enough of them. Lookups
    go to `services`, claims and orders to `ledgers`. `service_ms` is the usual service
    time and `latency_ms` the latency target of the lookups, both in milliseconds.
    """

    data_centres: tuple[str, ...]
    services: tuple[str, ...]
    ledgers: tuple[str, ...] = ()
    shards: int = 1
    replicas: int = 2
    slots: int = 2
    batch: int = 1
    instances: int = 3
    service_ms: float = 10.0
    latency_ms: float = 150.0
    extra_load: float = 0.05
    coverage: float = 0.8
    first_port: int = 19000
    log_level: str = "warning"

    @property
    def platform(self) -> str:
        """The address of the platform."""
        return f"{HOST}:{self.first_port + PLATFORM_PORT_OFFSET}"

    @property
    def control(self) -> str:
        """The address at which a demo or a measurement controls the site."""
        return f"{HOST}:{self.first_port + CONTROL_PORT_OFFSET}"


def build_config(plan: SitePlan) -> PublishedConfig:
    """Return the configuration of the site, as an operator would publish it."""
    servers: dict[str, BackendServer] = {}
    services: dict[str, Service] = {}
    for name in plan.services + plan.ledgers:
        shards = {}
        for shard in range(plan.shards):
            shards[str(shard)] = _add_replicas(plan, f"{name}-{shard}", servers)
        services[name] = Service(shards)
    return PublishedConfig(
        "index-1",
        {name: DataCentre("west") for name in plan.data_centres},
        servers,
        services,
        _build_classes(plan),
    )


def build_instance_settings(plan: SitePlan) -> list[Settings]:
    """Return the settings of every instance of the site."""
    return [
        Settings(
            instance=f"i{number}",
            data_centre=plan.data_centres[number % len(plan.data_centres)],
            host=HOST,
            caller_port=_compute_port(plan, number, 0),
            peer_port=_compute_port(plan, number, 1),
            operator_port=_compute_port(plan, number, 2),
            platform=plan.platform,
            log_level=plan.log_level,  # type: ignore[arg-type]
            stop_within_s=20.0,
        )
        for number in range(plan.instances)
    ]


def load_plan(path: Path) -> Result[SitePlan, InvalidDocument]:
    """Read the YAML file of a site's plan and check every field."""
    return load_document(SitePlan, path)


def write_settings(plan: SitePlan, folder: Path) -> None:
    """Write the settings file of every instance of the site into `folder`."""
    for settings in build_instance_settings(plan):
        fields = dataclasses.asdict(settings)
        path = folder / f"{settings.instance}.yaml"
        path.write_text(yaml.safe_dump(fields, sort_keys=False), encoding="utf-8")


def build_instance_list(plan: SitePlan) -> InstanceList:
    """Return the platform's list of the site's instances."""
    instances = {
        settings.instance: ListedInstance(
            f"{settings.host}:{settings.peer_port}", settings.data_centre
        )
        for settings in build_instance_settings(plan)
    }
    return InstanceList(1, instances)


def encode(value: PublishedConfig | InstanceList) -> bytes:
    """Return the JSON form of a published value."""
    return msgspec.json.encode(value)


def _compute_port(plan: SitePlan, number: int, offset: int) -> int:
    first = plan.first_port + INSTANCE_PORT_OFFSET
    return first + number * PORTS_PER_INSTANCE + offset


def _add_replicas(
    plan: SitePlan, shard: str, servers: dict[str, BackendServer]
) -> tuple[str, ...]:
    names = []
    for replica in range(plan.replicas):
        number = len(servers)
        name = f"{shard}-{replica}"
        data_centre = plan.data_centres[number % len(plan.data_centres)]
        port = plan.first_port + BACKEND_PORT_OFFSET + number
        servers[name] = BackendServer(
            f"{HOST}:{port}", data_centre, slots=plan.slots, batch=plan.batch
        )
        names.append(name)
    return tuple(names)


def _build_classes(plan: SitePlan) -> dict[str, RequestClass]:
    lookup = Targets(
        latency_ms=plan.latency_ms,
        coverage=plan.coverage,
        extra_load=plan.extra_load,
        prefer="latency",
    )
    classes = {"grain-lookup": RequestClass(plan.services, lookup)}
    if plan.ledgers:
        classes["warranty-claim"] = RequestClass(
            plan.ledgers, Targets(latency_ms=300, prefer="coverage")
        )
        classes["block-order"] = RequestClass(
            plan.ledgers,
            Targets(latency_ms=500, extra_load=0, prefer="coverage"),
            idempotent=False,
        )
    return classes
