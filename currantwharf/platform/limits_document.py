"""The platform's document of limits on callers' requests."""

import msgspec


class LimitsDocument(msgspec.Struct, rename="kebab"):
    """Limits on the size of a request in bytes and on its caller's time."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
