"""The round trip to the other end of a connection, as the kernel measures it."""

import socket
import struct

TCP_INFO_BYTES = 104  # of `struct tcp_info`, up to its round trip and beyond
RTT_OFFSET = 68  # offset of `tcpi_rtt` in it, an unsigned number of microseconds
MAX_ROUND_TRIP_S = 0.2  # seconds; a first guess of the kernel may be a whole second


def read_round_trip_s(transport: object) -> float:
    """Return the smoothed round trip of a connection in seconds, 0 if not known."""
    sock = getattr(transport, "getHandle", lambda: None)()
    if not isinstance(sock, socket.socket):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (micros,) = struct.unpack_from("I", info, RTT_OFFSET)
    except (OSError, struct.error):
        # Not every kernel tells; the caller's way is then taken as none.
        return 0.0
    return float(min(micros / 1e6, MAX_ROUND_TRIP_S))
