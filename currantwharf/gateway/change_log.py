"""Log lines for changes of the configuration, the servers and the data centres."""

from functools import singledispatch

from currantwharf.gateway.change_source import ChangeSource
from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.store_change import (
    ConfigChanged,
    DataCentreChanged,
    ServerChanged,
    ServerRemoved,
)
from currantwharf.runtime.component_log import component_logger

# Server changes of one batch that are logged one by one; the others are only counted.
MAX_LOGGED_SERVER_CHANGES = 8

log = component_logger("registry")


def log_changes(changes: list[RevisedChange], source: ChangeSource) -> None:
    """Log each of the first server changes, and the number of the others.

    A change of the configuration or of a data centre is always logged.
    """
    origin = {"source": source.value}
    server_changes = 0
    for change in changes:
        is_server = isinstance(change.change, ServerChanged | ServerRemoved)
        server_changes += is_server
        if not is_server or server_changes <= MAX_LOGGED_SERVER_CHANGES:
            message, fields = _describe(change.change)
            log.info(message, extra={"revision": change.revision, **fields, **origin})
    if server_changes > MAX_LOGGED_SERVER_CHANGES:
        log.info(
            "servers changed",
            extra={"more": server_changes - MAX_LOGGED_SERVER_CHANGES, **origin},
        )


@singledispatch
def _describe(change: object) -> tuple[str, dict[str, object]]:
    raise NotImplementedError(type(change))


@_describe.register
def _(change: ConfigChanged) -> tuple[str, dict[str, object]]:
    config = change.config
    fields: dict[str, object] = {
        "version": config.version,
        "routes": len(config.routes),
    }
    return "configuration in force", fields


@_describe.register
def _(change: ServerChanged) -> tuple[str, dict[str, object]]:
    entry = change.entry
    fields: dict[str, object] = {
        "server": entry.server,
        "service": entry.service,
        "leaving": entry.leaving,
        "warm_up_s": entry.warm_up_s,
    }
    return "server registered", fields


@_describe.register
def _(change: ServerRemoved) -> tuple[str, dict[str, object]]:
    return "server gone", {"server": change.server, "may_return": change.may_return}


@_describe.register
def _(change: DataCentreChanged) -> tuple[str, dict[str, object]]:
    state = "out of service" if change.is_out else "in service"
    return f"data centre {state}", {"data_centre": change.data_centre}
