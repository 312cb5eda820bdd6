"""Report on a backend server, as exchanged between instances."""

import msgspec


class ServerReport(msgspec.Struct, frozen=True, array_like=True):
    """A server that an instance found silent, or slow in several answers.

    `work_ms` is the latency of the latest answer without the network, in milliseconds;
    None if the server is silent.
    """

    server: str
    work_ms: int | None = None
