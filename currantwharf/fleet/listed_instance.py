"""An entry of the platform's instance list."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """The peer address, data centre and state of one listed instance."""

    address: str
    data_centre: str
    state: Literal["live", "leaving"] = "live"
