"""Standard streams of a process that was started without them."""

import os
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing_streams() -> None:
    """Open the standard streams that are closed, on the null device.

    Otherwise the first sockets would get their descriptors, and whatever is written to
    a standard stream would be sent on them.
    """
    while True:
        descriptor = os.open(os.devnull, os.O_RDWR)
        if descriptor not in STANDARD_DESCRIPTORS:
            os.close(descriptor)
            break
    if sys.stdout is None:
        sys.stdout = os.fdopen(1, "w", closefd=False)
    if sys.stderr is None:
        sys.stderr = os.fdopen(2, "w", closefd=False)
