"""What a caller may send, and how long it may take."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bound the size of a request in bytes, and its caller's time in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 10.0
    idle_s: float = 60.0
