"""The platform's document of limits on callers' requests."""

import msgspec

from currantwharf.platform.bounded_numbers import Count, Milliseconds


class LimitsDocument(msgspec.Struct, rename="kebab"):
    """Limits on the size of a request in bytes and on its caller's time."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 262_144
    header_timeout_ms: Milliseconds = 10_000.0
    idle_timeout_ms: Milliseconds = 60_000.0
