"""The settings of one process."""

from dataclasses import dataclass
from typing import Annotated, Literal

from annotated_types import Gt, Interval

Port = Annotated[int, Interval(ge=0, le=65535)]


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold what one instance can't learn from the platform.

    `host` is the IP number that the instance listens on, with a port each for
    callers, peers and operators. `platform` is the `host:port` of the platform's
    service. `stop_within_s` bounds a graceful shutdown in seconds. `statsd`, when
    given, is the `host:port` that metrics are sent to.
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
