"""A class of work."""

from dataclasses import dataclass

from currantwharf.config.targets import Targets


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Declare a class: the services it asks, whether it may be repeated, its targets.

    An idempotent class asks every shard of its services and may be hedged and
    retried. A class that is not idempotent goes to one shard, chosen by the key of
    the request, and runs at most once.
    """

    services: tuple[str, ...]
    targets: Targets
    idempotent: bool = True
