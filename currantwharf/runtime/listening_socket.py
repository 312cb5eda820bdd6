"""Listening socket that is opened before the reactor runs.

Importing the program takes a good part of a second. Connections made during that time
wait in the kernel's queue instead of being refused.
"""

import socket

BACKLOG = 512  # connections waiting to be accepted; a burst opens hundreds


def open_listening_socket(address: tuple[str, int]) -> socket.socket:
    """Open a listening socket; raise OSError if the address is unavailable."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
