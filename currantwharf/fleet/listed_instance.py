"""An instance as the platform's list shows it."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Give the peer address and data centre of one instance, and whether it leaves."""

    address: str
    data_centre: str
    state: Literal["live", "leaving"] = "live"
