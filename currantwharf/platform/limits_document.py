"""What callers may send, as the platform spells it."""

import msgspec


class LimitsDocument(msgspec.Struct, rename="kebab"):
    """What callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0
