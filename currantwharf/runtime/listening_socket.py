"""Listen before there is a reactor that accepts.

Importing the program takes a good part of a second. Connections that are made
meanwhile wait in the kernel's queue in place of being refused.
"""

import socket

BACKLOG = 512  # connections that wait to be accepted; a burst brings hundreds


def open_listening_socket(address: tuple[str, int]) -> socket.socket:
    """Return a listening socket; OSError if the address can't be had."""
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
