"""A data centre in the published configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DataCentre:
    """Region and service state of one data centre.

    While `in_service` is false, no instance sends new work to the data centre's
    backend servers.
    """

    region: str
    in_service: bool = True
