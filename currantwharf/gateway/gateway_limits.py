"""The limits that apply to the fleet as a whole."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """The retry budget of all instances together, and the time limits of the platform.

    In each window of `repeat_window_s` seconds, the repeats (retries and hedges) of a
    service's requests may number `repeat_ratio` times its requests, plus
    `repeat_slack`. `assumed_fleet_size` is the number of instances that is assumed
    until the fleet is known; it is larger than any fleet in use. `grace_s` limits a
    graceful stop, and `config_apply_s` is the time within which a new configuration
    must be in force everywhere. A server that leaves serves on for `drain_s`. All three
    are in seconds.
    """

    repeat_ratio: float = 0.2
    repeat_slack: float = 0.0
    repeat_window_s: float = 10.0
    assumed_fleet_size: int = 100
    grace_s: float = 6.0
    config_apply_s: float = 4.0
    drain_s: float = 4.0
