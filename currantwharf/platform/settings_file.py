"""The schema of the settings file that the platform writes."""

import msgspec

from currantwharf.platform.bounded_numbers import Count


class ListenSection(msgspec.Struct):
    """Addresses on which an instance listens."""

    front: str
    ready: str
    control: str


class BoundsSection(msgspec.Struct, rename="kebab"):
    """Bounds set by the platform, limited to those that currantwharf uses."""

    retry_budget_ratio: float = 0.0
    retry_window_s: float = 10.0
    budget_slack: float = 0.0
    grace_s: float = 6.0
    config_apply_ms: float = 4_000.0
    drain_ms: float = 4_000.0


class LimitsSection(msgspec.Struct, rename="kebab"):
    """Processor and network limits of an instance.

    The instance has a share `cpu_share` of one core that is `cores` times as fast as
    a usual one. `link_mbps` is the rate of its network link in Mbit/s.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class PlatformSection(msgspec.Struct, rename="kebab"):
    """How the platform's store is reached, and the size of its largest value."""

    address: str
    value_bytes: Count = 1_048_576


class SettingsFile(msgspec.Struct, rename="kebab"):
    """Settings of one process; fields that are not listed here are ignored."""

    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: ListenSection
    port_range: tuple[int, int]
    platform: PlatformSection
    seeds: list[str] = []
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
