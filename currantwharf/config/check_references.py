"""Check that all names used in a configuration are declared in it."""

from collections.abc import Iterable, Iterator

from currantwharf.config.published_config import PublishedConfig
from currantwharf.documents.problem import Problem


def check_references(config: PublishedConfig) -> tuple[Problem, ...]:
    """Return a problem for each undeclared name, bad address and empty list.

    The running time is linear in the number of servers, replicas and classes.
    """
    return (
        *_check_servers(config),
        *_check_shards(config),
        *_check_classes(config),
    )


def _check_servers(config: PublishedConfig) -> Iterator[Problem]:
    for name, server in config.servers.items():
        if server.data_centre not in config.data_centres:
            path = f"servers.{name}.data_centre"
            yield _unknown_name_problem(path, server.data_centre, config.data_centres)
        host, _, port = server.address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            yield Problem(f"servers.{name}.address", server.address, "host:port")


def _check_shards(config: PublishedConfig) -> Iterator[Problem]:
    for name, service in config.services.items():
        for shard, servers in service.shards.items():
            path = f"services.{name}.shards.{shard}"
            if not servers:
                yield Problem(path, "no replica", "at least one backend server")
            for server in servers:
                if server not in config.servers:
                    yield _unknown_name_problem(path, server, config.servers)


def _check_classes(config: PublishedConfig) -> Iterator[Problem]:
    for name, request_class in config.classes.items():
        path = f"classes.{name}.services"
        if not request_class.services:
            yield Problem(path, "no service", "at least one service")
        for service in request_class.services:
            if service not in config.services:
                yield _unknown_name_problem(path, service, config.services)


def _unknown_name_problem(path: str, found: str, known: Iterable[str]) -> Problem:
    names = sorted(known)
    shown = ", ".join(names[:8]) + (", ..." if len(names) > 8 else "")
    return Problem(path, repr(found), f"one of {shown}")
