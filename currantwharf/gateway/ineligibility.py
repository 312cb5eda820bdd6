"""The reasons why a backend server may not get a request now."""

from enum import StrEnum


class Ineligibility(StrEnum):
    """Why a server may not get a request."""

    LEAVING = "leaving"
    GONE = "gone"  # it has no registration any more, or one at another address
    DATA_CENTRE_OUT = "data_centre_out"
    REGION_NOT_ALLOWED = "region_not_allowed"
    ADDRESS_REUSED = "address_reused"
    TRIED = "tried"
    LIMITED = "limited"  # this instance's share of the limit that it names is used up
    TURNED_AWAY = "turned_away"  # it wants nothing from this instance for a time
    COLD = "cold"  # this instance's share of the cold server's rate is used up
    NOT_WANTED = "not_wanted"  # its caller has left, or another server has answered
    CRASHES_SERVERS = "crashes_servers"  # the request has crashed servers elsewhere
