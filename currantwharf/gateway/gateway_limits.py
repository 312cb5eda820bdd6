"""The bounds that hold for the fleet as a whole."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Hold what all instances together may spend, and the times that bind them.

    For each service and window of `repeat_window_s` seconds, `repeat_ratio` of its
    requests and `repeat_slack` more may be sent again. `assumed_fleet_size` is the number of
    instances that is assumed until the fleet is known, larger than any fleet of today.
    `grace_s` bounds a graceful stop in seconds.
    """

    repeat_ratio: float = 0.2
    repeat_slack: float = 0.0
    repeat_window_s: float = 10.0
    assumed_fleet_size: int = 100
    grace_s: float = 6.0
