"""When to give up an attempt that waits for a connection.

The load: servers of many shards are lost without a sign, and machines of theirs with
them. A connection to such a server is only reported as failed after a second, and TCP
sends a lost packet of the handshake again only after a second. Until it has a
connection, a request has not been sent, so any request may go to another server, and no
repeat is spent.
"""

# On top of the round trip: the time in which a busy server accepts.
CONNECT_MARGIN_S = 0.08
# A check that comes this much later than planned tells of this instance's own load.
MAX_CHECK_DELAY_S = 0.03


def connect_check_time(round_trip_s: float, now: float) -> float:
    """Return when a connection that is opened now is unusually late.

    >>> connect_check_time(0.04, 10.0)
    10.12
    """
    return now + round_trip_s + CONNECT_MARGIN_S


def is_server_late(check_at: float, now: float) -> bool:
    """Return whether a missing connection is the server's fault.

    >>> is_server_late(10.0, 10.01), is_server_late(10.0, 10.2)
    (True, False)
    """
    return now - check_at <= MAX_CHECK_DELAY_S
