"""Rendezvous hashing: agree on an owner without talking about it.

The idea is highest random weight hashing (Thaler and Ravishankar, 1998): every
process scores each pair of key and candidate alike, and the highest score wins. When
a candidate leaves, only its own keys move.
"""

from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the weight of `candidate` for `key`, the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode())


def highest(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight for `key`; linear in candidates.

    >>> highest("s1", ["i1", "i2", "i3"]) == highest("s1", ["i3", "i2", "i1"])
    True
    >>> highest("s1", []) is None
    True
    """
    return max(candidates, key=lambda name: (score(key, name), name), default=None)


def top(key: str, candidates: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the `count` candidates with the highest weights, best first.

    >>> len(top("order-7", ["i1", "i2", "i3", "i4"], 3))
    3
    """
    ranked = sorted(candidates, key=lambda name: (score(key, name), name))
    return tuple(reversed(ranked[-count:]))
