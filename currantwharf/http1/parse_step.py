"""One step of a parser, whose errors become those of its reader."""

from collections.abc import Callable

import httptools


def run_parser(
    step: Callable[[], None],
    error_type: type[Exception],
    make_error: Callable[[str], Exception],
) -> None:
    """Run one step of a parser of `httptools`.

    An error of `error_type` that a callback raises is raised as it is. Any other error
    of a callback or of the parser is raised as what `make_error` makes of its detail.
    An upgrade is left to the caller.
    """
    try:
        step()
    except httptools.HttpParserCallbackError as exc:
        cause = exc.__context__
        error = cause if isinstance(cause, error_type) else make_error(repr(cause))
        try:
            raise error from None
        finally:
            # An exception and the frame that names it would keep each other.
            del cause, error
    except httptools.HttpParserUpgrade:
        raise
    except httptools.HttpParserError as exc:
        raise make_error(repr(exc)) from exc
