"""Changes of the platform's store, independent of the store's own format.

Instances forward these changes to each other, so field names and tags are part of the
messages between them.
"""

import msgspec

from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.server_entry import ServerEntry


class ConfigChanged(msgspec.Struct, frozen=True, tag="config"):
    """A new configuration was published."""

    config: GatewayConfig


class ServerChanged(msgspec.Struct, frozen=True, tag="server"):
    """A backend server has registered, or has updated its registration."""

    entry: ServerEntry


class ServerRemoved(msgspec.Struct, frozen=True, tag="removed"):
    """The registration of a backend server has ended or is invalid.

    `may_return` is true if the store was unavailable shortly before, so that the
    registration may have lapsed although its server is alive.
    """

    server: str
    may_return: bool = False


class DataCentreChanged(msgspec.Struct, frozen=True, tag="data-centre"):
    """A data centre was taken out of service, or is in service again."""

    data_centre: str
    is_out: bool


StoreChange = ConfigChanged | ServerChanged | ServerRemoved | DataCentreChanged
