"""Logging as JSON lines, with a fixed message prefix for each component."""

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

ROOT_LOGGER_NAME = "currantwharf"


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that prefixes each message with the name of its component."""

    def process(
        self, msg: object, kwargs: MutableMapping[str, Any]
    ) -> tuple[object, MutableMapping[str, Any]]:
        """Add the prefix to the message, and keep the extra fields."""
        component = self.extra["part"] if self.extra else ""
        return f"{component}: {msg}", kwargs


def component_logger(component: str) -> ComponentLogger:
    """Return the logger of a component, such as `entry` or `owner`."""
    return ComponentLogger(logging.getLogger(ROOT_LOGGER_NAME), {"part": component})


def set_up_logs(level: str, instance: str, stream: Any = None) -> None:
    """Write log records of at least `level` to `stream` as JSON lines.

    `stream` defaults to standard error.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"instance": instance},
    )
    handler.setFormatter(formatter)
    logger = logging.getLogger(ROOT_LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    _forward_twisted_warnings()


def _forward_twisted_warnings() -> None:
    """Send warnings and errors logged by Twisted to the same stream."""
    predicate: Any = LogLevelFilterPredicate(defaultLogLevel=LogLevel.warn)
    to_logging: Any = STDLibLogObserver(f"{ROOT_LOGGER_NAME}.twisted")
    observer: Any = FilteringLogObserver(to_logging, [predicate])
    globalLogPublisher.addObserver(observer)
