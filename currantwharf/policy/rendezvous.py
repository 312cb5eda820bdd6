"""Rendezvous hashing: processes agree on an owner without communication.

This is highest random weight hashing (Thaler and Ravishankar, 1998): every process
computes the same score for a pair of key and candidate, and the highest score wins.
When a candidate leaves, only the keys that it owned move.
"""

from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the score of `candidate` for `key`, the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode())


def highest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score for `key`, in linear time.

    >>> highest("s1", ["i1", "i2", "i3"]) == highest("s1", ["i3", "i2", "i1"])
    True
    >>> highest("s1", []) is None
    True
    """
    return max(candidates, key=lambda name: (score(key, name), name), default=None)


def top(key: str, candidates: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` candidates with the highest scores, best first.

    >>> len(top("order-7", ["i1", "i2", "i3", "i4"], 3))
    3
    """
    ranked = sorted(candidates, key=lambda name: (score(key, name), name))
    return tuple(reversed(ranked[-count:]))
