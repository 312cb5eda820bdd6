"""What changes in the platform's store, in this project's terms."""

from dataclasses import dataclass

from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.server_entry import ServerEntry


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A configuration was published; `document` is the text that it was read from."""

    config: GatewayConfig
    document: bytes


@dataclass(frozen=True, slots=True)
class ServerChanged:
    """A backend server has registered itself anew."""

    entry: ServerEntry


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """The registration of a backend server has ended, or can't be used."""

    server: str


@dataclass(frozen=True, slots=True)
class DataCentreChanged:
    """A data centre was taken out, or is in service again."""

    data_centre: str
    is_out: bool


StoreChange = ConfigChanged | ServerChanged | ServerRemoved | DataCentreChanged


@dataclass(frozen=True, slots=True)
class RevisedChange:
    """Hold a change, the key that it is about and the store's revision of it.

    `age_s` is how long ago it was read from the store, in seconds.
    """

    key: str
    revision: int
    change: StoreChange
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Hold all that is published, and the revision from which to watch."""

    changes: tuple[RevisedChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreEvents:
    """Hold what came out of one watch, and the revision from which to go on."""

    changes: tuple[RevisedChange, ...]
    revision: int
