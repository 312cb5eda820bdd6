"""The faults that can be injected into a stand-in backend server of the platform."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServerFaults:
    """The faults of one server.

    `slow` multiplies its service time. A `silent` server queues requests and runs
    none, a `failing` one answers 500, and one with `shed` refuses each request as not
    run. Its answers name `limit_per_s`, in requests per second, unless that is None. A
    request crashes it whose target contains `crashed_by`, unless that is empty. A
    `leaving` one says so in its answers, and serves on. One that sheds names
    `wants_nothing_s` as the time for which it wants nothing, unless that is 0.
    """

    slow: float = 1.0
    silent: bool = False
    failing: bool = False
    shed: bool = False
    limit_per_s: float | None = None
    crashed_by: bytes = b""
    leaving: bool = False
    wants_nothing_s: float = 0.0
