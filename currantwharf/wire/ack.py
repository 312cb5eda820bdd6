"""The answer to an envelope."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ack:
    """Confirm that an envelope was read, and say how the receiver stands.

    Each acknowledgement doubles as a heartbeat, so that traffic between two busy
    instances leaves nothing to probe.
    """

    instance: str
    boot_id: str
    incarnation: int
    ready: bool
    stopping: bool
    config_version: int
    list_revision: int
