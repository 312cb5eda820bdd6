"""Report on the limit of a backend server, as exchanged between instances."""

from typing import Annotated

import msgspec

MAX_LIMIT_PER_S = 1e9


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a server said of its limit in an answer that came `age_s` seconds ago.

    `limit_per_s` is None if it named none any more.
    """

    server: str
    limit_per_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LIMIT_PER_S)] | None
    age_s: float
