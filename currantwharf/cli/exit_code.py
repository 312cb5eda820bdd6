"""The exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Tell a script what went wrong; click itself uses 2 for wrong usage."""

    OK = 0
    FAILED = 1
    USAGE = 2
    SETTINGS = 3
    CONNECTION = 4
    NOT_ANSWERED = 5
