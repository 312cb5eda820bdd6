"""A data centre as the operator publishes it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DataCentre:
    """Describe one data centre.

    `region` names the region that holds it. While `in_service` is false, no new
    work goes to its backend servers, from any instance.
    """

    region: str
    in_service: bool = True
