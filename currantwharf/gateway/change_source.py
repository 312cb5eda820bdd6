"""Where an instance got the changes of the platform's store from."""

from enum import StrEnum


class ChangeSource(StrEnum):
    """The way on which changes reached this instance."""

    STALE_READ = "stale_read"
    READ = "read"
    WATCH = "watch"
    SPOT_CHECK = "spot_check"
    HELLO = "hello"
    FETCH = "fetch"
