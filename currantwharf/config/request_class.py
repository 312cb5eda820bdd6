"""A class of requests in the published configuration."""

from dataclasses import dataclass

from currantwharf.config.targets import Targets


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Services, targets and idempotence of one class of requests.

    A request of an idempotent class goes to every shard of the services and may be
    hedged and retried. A request of any other class goes to one shard, chosen by the
    key of the request, and runs at most once.
    """

    services: tuple[str, ...]
    targets: Targets
    idempotent: bool = True
