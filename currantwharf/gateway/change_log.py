"""Log what changes this instance's belief of the configuration and the servers."""

from functools import singledispatch

from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.store_change import (
    ConfigChanged,
    DataCentreChanged,
    ServerChanged,
    ServerRemoved,
)
from currantwharf.runtime.component_log import component_logger

MOST_NAMED = 8  # changes of one batch that have a line each

log = component_logger("registry")


def log_changes(news: list[RevisedChange]) -> None:
    """Write a line for each of the first changes, and one that counts the others.

    A new configuration and a data centre always have their line.
    """
    named = 0
    for change in news:
        is_server = isinstance(change.change, ServerChanged | ServerRemoved)
        named += is_server
        if not is_server or named <= MOST_NAMED:
            message, fields = _describe(change.change)
            log.info(message, extra={"revision": change.revision, **fields})
    if named > MOST_NAMED:
        log.info("servers changed", extra={"more": named - MOST_NAMED})


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
