"""The settings file, as the platform spells it."""

import msgspec


class ListenSection(msgspec.Struct):
    """The addresses that an instance serves."""

    front: str
    ready: str
    control: str


class BoundsSection(msgspec.Struct, rename="kebab"):
    """The bounds of the platform that this project uses."""

    retry_budget_ratio: float = 0.0
    retry_window_s: float = 10.0
    budget_slack: float = 0.0
    grace_s: float = 6.0


class LimitsSection(msgspec.Struct, rename="kebab"):
    """The processor, a share of a core that runs so many times as fast, and the link.

    The link's rate is in Mbit a second.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class SettingsFile(msgspec.Struct, rename="kebab"):
    """The settings of a process; fields that are not named here are ignored."""

    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen: ListenSection
    port_range: tuple[int, int]
    platform: dict[str, str | float | bool | None]
    seeds: list[str] = []
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    bounds: BoundsSection = msgspec.field(default_factory=BoundsSection)
