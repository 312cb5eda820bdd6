"""The round-trip time of a connection, as measured by the kernel."""

import socket
import struct

TCP_INFO_BYTES = 104  # part of `struct tcp_info` that includes `tcpi_rtt`
RTT_OFFSET = 68  # offset of `tcpi_rtt`, an unsigned number of microseconds
MAX_ROUND_TRIP_S = 0.2  # the kernel's first estimate may be as long as a second


def read_round_trip_s(transport: object) -> float:
    """Return the smoothed round-trip time of a connection in seconds, 0 if unknown."""
    sock = getattr(transport, "getHandle", lambda: None)()
    if not isinstance(sock, socket.socket):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (rtt_us,) = struct.unpack_from("I", info, RTT_OFFSET)
    except (OSError, struct.error):
        # Not every kernel reports it; the network delay then counts as zero.
        return 0.0
    return float(min(rtt_us / 1e6, MAX_ROUND_TRIP_S))
