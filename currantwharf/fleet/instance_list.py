"""The platform's list of live and leaving instances."""

from dataclasses import dataclass, field
from typing import Literal

from currantwharf.fleet.listed_instance import ListedInstance


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Hold one revision of the list; it lags behind what is really running.

    `instances` are those of the query tier. `servers` gives the state of the backend
    servers that the platform knows.
    """

    revision: int
    instances: dict[str, ListedInstance]
    servers: dict[str, Literal["live", "leaving"]] = field(default_factory=dict)


EMPTY_LIST = InstanceList(0, {})
