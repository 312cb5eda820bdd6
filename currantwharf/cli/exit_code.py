"""The exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes that scripts can rely on; click itself exits with 2 on wrong usage."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    CONNECTION = 4
    NOT_ANSWERED = 5
