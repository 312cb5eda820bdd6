"""The reasons for which a backend server may not get a request now."""

from enum import StrEnum


class Ineligible(StrEnum):
    """Name what keeps a server from a request."""

    LEAVING = "leaving"
    DATA_CENTRE_OUT = "data_centre_out"
    REGION_NOT_ALLOWED = "region_not_allowed"
    ADDRESS_REUSED = "address_reused"
    TRIED = "tried"
    COLD = "cold"  # it has its share of what it bears
