"""Choose which instances read the platform's services; the rest hear from peers."""

from collections.abc import Iterable

from currantwharf.policy.rendezvous import top

READERS_PER_DATA_CENTRE = 2
READER_KEY = "platform-reader"


def is_reader(instance: str, usable_in_data_centre: Iterable[str]) -> bool:
    """Return whether `instance` is one of the readers of its data centre.

    The number of readers is bounded for each data centre, so that the calls to the
    platform don't grow with the number of instances. An instance that sees no usable
    one reads for itself.

    >>> is_reader("i1", [])
    True
    """
    others = set(usable_in_data_centre) | {instance}
    return instance in top(READER_KEY, others, READERS_PER_DATA_CENTRE)
