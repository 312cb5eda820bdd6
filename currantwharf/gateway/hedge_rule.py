"""When a hedge is worth the load that it adds.

The load: servers of many shards turn slow at the same time, and in some shards all of
them do. There a hedge only adds work to a server that is slow as well. It lengthens the
queues of both until neither answers in time, and it spends a repeat that another shard,
with a fast server left, could have used.
"""


def is_hedge_sooner(
    expected_at: float, hedge_expected_at: float, margin_s: float, now: float
) -> bool:
    """Return whether a hedge is expected to be answered before the attempt under way.

    `expected_at` is when the attempt's answer is expected by what its server has shown
    so far. An attempt that is overdue by that tells nothing of when it will end.

    >>> is_hedge_sooner(10.1, 10.05, 0.002, now=10.0)
    True
    >>> is_hedge_sooner(10.1, 10.15, 0.002, now=10.0)
    False
    >>> is_hedge_sooner(10.1, 10.25, 0.002, now=10.2)
    True
    """
    return expected_at <= now or hedge_expected_at + margin_s < expected_at
