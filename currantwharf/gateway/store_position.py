"""A position in the changes of the platform's store."""

from typing import NamedTuple

NO_ERA = -1  # unknown: an earlier build, or a store that names no era


class StorePosition(NamedTuple):
    """A revision of the store, and the era to which it belongs.

    A store that is restored from an older copy gives revisions out again. Its era then
    rises, so a position in a later era is newer than any in an earlier one.

    >>> StorePosition(era=1, revision=51) < StorePosition(era=2, revision=50)
    True
    """

    era: int
    revision: int
