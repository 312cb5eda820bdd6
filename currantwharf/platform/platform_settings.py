"""The settings that the platform gives each process."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml
from result import Err, Ok, Result

from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.place import Place

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Hold the settings of one instance: its place and the addresses it serves."""

    place: Place
    callers: Address
    ready: Address
    peers: Address
    store: Address
    limits: GatewayLimits


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str


class _Bounds(msgspec.Struct, rename="kebab"):
    retry_budget_ratio: float = 0.0
    retry_window_s: float = 10.0
    budget_slack: float = 0.0
    grace_s: float = 6.0
    config_apply_ms: float = 4000.0


class _Limits(msgspec.Struct, rename="kebab"):
    cpu_share: float = 1.0
    cores: float = 1.0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="kebab"):
    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_platform_settings(path: Path) -> Result[PlatformSettings, InvalidDocument]:
    """Read the platform's settings file; fields that are not known are ignored."""
    try:
        found = yaml.load(path.read_bytes(), Loader=_loader())
        file = msgspec.convert(found, _File)
        return Ok(_translate(file))
    except (OSError, yaml.YAMLError, msgspec.ValidationError, BadAddressError) as exc:
        return Err(
            InvalidDocument(
                str(path),
                (Problem("file", str(exc), "the settings that the platform writes"),),
            )
        )


class BadAddressError(Exception):
    """An address is not an IP number and a port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not an address of the form host:port")


def parse_address(text: str) -> Address:
    """Return the host and port of an address.

    >>> parse_address("10.1.0.9:8104")
    ('10.1.0.9', 8104)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise BadAddressError(text)
    return host, int(port)


def _loader() -> type:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _translate(file: _File) -> PlatformSettings:
    bounds = file.bounds
    peers = parse_address(file.listen.control)
    seeds = [parse_address(seed)[0] for seed in file.seeds]
    place = Place(
        file.node_name,
        file.ip,
        file.zone,
        file.region,
        file.zones,
        file.port_range[0],
        peers[1],
        tuple(dict.fromkeys(seeds)),
        file.port_range[0] + 1,
        file.limits.cpu_share * file.limits.cores,
    )
    return PlatformSettings(
        place,
        parse_address(file.listen.front),
        parse_address(file.listen.ready),
        peers,
        parse_address(file.platform.address),
        GatewayLimits(
            bounds.retry_budget_ratio,
            bounds.budget_slack,
            bounds.retry_window_s,
            grace_s=bounds.grace_s,
            apply_s=bounds.config_apply_ms / 1000,
        ),
    )
