"""The settings of one process."""

from dataclasses import dataclass
from typing import Annotated, Literal

from annotated_types import Gt, Interval

Port = Annotated[int, Interval(ge=0, le=65535)]


@dataclass(frozen=True, slots=True)
class Settings:
    """The values that one instance can't read from the platform.

    `host` is the IP address that the instance listens on, with one port each for
    callers, peers and operators. `platform` is the `host:port` of the platform's
    service. `stop_within_s` is the longest time in seconds that a graceful shutdown
    may take. `statsd`, if set, is the `host:port` that metrics are sent to.
    """

    instance: str
    data_centre: str
    host: str
    caller_port: Port
    peer_port: Port
    operator_port: Port
    platform: str
    region: str = ""
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    statsd: str = ""
    stop_within_s: Annotated[float, Gt(0)] = 30.0
