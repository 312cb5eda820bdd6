"""Choice of the instances that read from the platform; others learn from peers."""

from collections.abc import Iterable

from currantwharf.policy.rendezvous import top

READERS_PER_DATA_CENTRE = 2
READER_KEY = "platform-reader"


def is_reader(instance: str, usable_in_data_centre: Iterable[str]) -> bool:
    """Return whether `instance` is one of the readers of its data centre.

    The number of readers per data centre is bounded, so that the number of calls to
    the platform does not grow with the number of instances. An instance that sees no
    usable peer is a reader itself.

    >>> is_reader("i1", [])
    True
    """
    instances = set(usable_in_data_centre) | {instance}
    return instance in top(READER_KEY, instances, READERS_PER_DATA_CENTRE)
