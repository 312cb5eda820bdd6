"""The errors that decoding bytes from elsewhere may raise."""

import msgspec

# Invalid text and values nested too deeply raise errors of Python's own.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
