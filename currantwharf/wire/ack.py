"""The acknowledgement of an envelope."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledgement of an envelope, with the state of the instance that read it.

    Each acknowledgement also counts as a heartbeat, so two instances with traffic
    between them need no separate probes.
    """

    instance: str
    boot_id: str
    incarnation: int
    ready: bool
    stopping: bool
    config_version: int
    list_revision: int
