"""What may change in the platform's store, in this project's terms.

Instances tell each other of changes, so these types are also what is sent.
"""

import msgspec

from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.server_entry import ServerEntry


class ConfigChanged(msgspec.Struct, frozen=True, tag="config"):
    """A configuration was published."""

    config: GatewayConfig


class ServerChanged(msgspec.Struct, frozen=True, tag="server"):
    """A backend server has registered itself anew."""

    entry: ServerEntry


class ServerRemoved(msgspec.Struct, frozen=True, tag="removed"):
    """The registration of a backend server has ended, or can't be used.

    `may_return` is true if the store had been away just before, so that the
    registration may have lapsed though its server lives.
    """

    server: str
    may_return: bool = False


class DataCentreChanged(msgspec.Struct, frozen=True, tag="data-centre"):
    """A data centre was taken out, or is in service again."""

    data_centre: str
    is_out: bool


StoreChange = ConfigChanged | ServerChanged | ServerRemoved | DataCentreChanged
