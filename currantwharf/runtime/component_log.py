"""Logs as JSON lines, with a fixed prefix for each part of the program."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter
from twisted.logger import (
    FilteringLogObserver,
    LogLevel,
    LogLevelFilterPredicate,
    STDLibLogObserver,
    globalLogPublisher,
)

ROOT = "currantwharf"


class PartLog(logging.LoggerAdapter[logging.Logger]):
    """Log short sentences that begin with the name of their part."""

    def process(
        self, msg: object, kwargs: MutableMapping[str, Any]
    ) -> tuple[object, MutableMapping[str, Any]]:
        """Put the prefix before the message and keep the extra fields."""
        part = self.extra["part"] if self.extra else ""
        return f"{part}: {msg}", kwargs


def component_logger(part: str) -> PartLog:
    """Return the log of one part, such as `entry` or `owner`."""
    return PartLog(logging.getLogger(ROOT), {"part": part})


def set_up_logs(level: str, instance: str, stream: Any = None) -> None:
    """Send logs of at least `level` to `stream` as JSON lines.

    The default is standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"instance": instance},
    )
    handler.setFormatter(formatter)
    logger = logging.getLogger(ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    _follow_twisted()


def _follow_twisted() -> None:
    """Send what Twisted has to warn of to the same place."""
    predicate: Any = LogLevelFilterPredicate(defaultLogLevel=LogLevel.warn)
    to_logging: Any = STDLibLogObserver(f"{ROOT}.twisted")
    observer: Any = FilteringLogObserver(to_logging, [predicate])
    globalLogPublisher.addObserver(observer)
