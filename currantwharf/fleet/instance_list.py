"""The list of live and leaving instances that the platform publishes."""

from dataclasses import dataclass, field
from typing import Literal

from currantwharf.fleet.listed_instance import ListedInstance


@dataclass(frozen=True, slots=True)
class InstanceList:
    """One revision of the list, which lags behind the instances actually running.

    `instances` maps the names of the instances of the query tier to their entries.
    `servers` maps the backend servers known to the platform to their state.
    """

    revision: int
    instances: dict[str, ListedInstance]
    servers: dict[str, Literal["live", "leaving"]] = field(default_factory=dict)


EMPTY_LIST = InstanceList(0, {})
