"""Report on the limit of a backend server, as exchanged between instances."""

import msgspec


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a server said of its limit in an answer that came `age_s` seconds ago.

    `limit_per_s` is None if it named none any more.
    """

    server: str
    limit_per_s: float | None
    age_s: float
