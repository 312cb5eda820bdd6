"""Merge the hits of many shards."""

import heapq
from collections.abc import Iterable

from currantwharf.wire import Hit

MOST_HITS = 50  # hits in one answer


def merge_hits(groups: Iterable[tuple[Hit, ...]]) -> tuple[Hit, ...]:
    """Return the best hits of all groups, highest score first, ties by document.

    The cost is O(n log m) for n hits of which m are kept.

    >>> merge_hits([(Hit("a", 1.0),), (Hit("b", 2.0),)])[0].document
    'b'
    """
    hits = (hit for group in groups for hit in group)
    return tuple(heapq.nsmallest(MOST_HITS, hits, key=_rank))


def _rank(hit: Hit) -> tuple[float, str]:
    return (-hit.score, hit.document)
