"""Merging of the hits of several shards into one answer."""

import heapq
from collections.abc import Iterable

from currantwharf.wire import Hit

MAX_HITS = 50  # in one answer


def merge_hits(hit_lists: Iterable[tuple[Hit, ...]]) -> tuple[Hit, ...]:
    """Return the best hits of all shards, by descending score and then by document.

    At most MAX_HITS are returned. Runs in O(n log m) for n hits of which m are kept.

    >>> merge_hits([(Hit("a", 1.0),), (Hit("b", 2.0),)])[0].document
    'b'
    """
    hits = (hit for hits_of_shard in hit_lists for hit in hits_of_shard)
    return tuple(heapq.nsmallest(MAX_HITS, hits, key=_sort_key))


def _sort_key(hit: Hit) -> tuple[float, str]:
    return (-hit.score, hit.document)
