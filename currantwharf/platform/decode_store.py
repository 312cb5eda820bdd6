"""Decode items of the platform's store into the types of the gateway."""

import base64

import msgspec
from result import Err, Ok, Result

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.route import Route, WeightedService
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.service import Service
from currantwharf.gateway.store_change import (
    ConfigChanged,
    DataCentreChanged,
    ServerChanged,
    ServerRemoved,
    StoreChange,
)
from currantwharf.http1 import RequestLimits
from currantwharf.platform import names
from currantwharf.platform.address import BadAddressError, parse_address
from currantwharf.platform.config_documents import (
    ConfigDocument,
    RouteDocument,
    ServiceDocument,
)
from currantwharf.platform.store_documents import ItemDocument, ServerDocument
from currantwharf.runtime.component_log import component_logger

IS_LEAVING_BY_SERVER_STATE = {"ready": False, "draining": True}
IS_IDEMPOTENT_BY_ROUTE_TYPE = {"idempotent": True, "non_idempotent": False}

MAX_SEQUENCE = 2**53  # a higher one counts as this one
MAX_STARTED_MS = 2**53  # far in the future; a later start counts as this one
MAX_WARM_UP_S = 600.0  # a longer warm-up counts as this one

log = component_logger("store")


class UnusableItem(Exception):  # noqa: N818
    """Raised for an item of the store that cannot be decoded."""


def decode_item(item: ItemDocument) -> RevisedChange | None:
    """Return the change that an item describes, or None if it is not relevant.

    An unreadable registration counts as removed, since it names no usable server. An
    unreadable configuration is ignored, and the one in force stays.
    """
    change = _decode(item)
    if change is None:
        return None
    return RevisedChange(item.revision, change)


def decode_config(document: bytes) -> Result[GatewayConfig, UnusableItem]:
    """Return the configuration in a JSON document."""
    try:
        decoded = msgspec.json.decode(document, type=ConfigDocument)
        return Ok(_convert_config(decoded))
    except (*DECODE_ERRORS, UnusableItem) as exc:
        return Err(UnusableItem(str(exc)))


def _decode(item: ItemDocument) -> StoreChange | None:
    key = item.key
    if key.startswith(names.SERVER_PREFIX):
        return _decode_server(key.removeprefix(names.SERVER_PREFIX), item)
    if key.startswith(names.EVACUATED_PREFIX):
        data_centre = key.removeprefix(names.EVACUATED_PREFIX)
        return DataCentreChanged(data_centre, is_out=item.value is not None)
    if key == names.CONFIG_KEY and item.value is not None:
        return _decode_config_item(item)
    return None


def _decode_config_item(item: ItemDocument) -> StoreChange | None:
    try:
        document = _decode_value(item)
    except UnusableItem as exc:
        log.warning(
            "configuration cannot be decoded; keeping the one in force",
            extra={"why": str(exc)},
        )
        return None
    decoded = decode_config(document)
    if isinstance(decoded, Err):
        why = str(decoded.unwrap_err())
        log.warning(
            "configuration cannot be decoded; keeping the one in force",
            extra={"why": why},
        )
        return None
    return ConfigChanged(decoded.unwrap())


def _decode_server(server: str, item: ItemDocument) -> StoreChange:
    if item.value is None:
        return ServerRemoved(server)
    try:
        document = msgspec.json.decode(_decode_value(item), type=ServerDocument)
        if document.state not in IS_LEAVING_BY_SERVER_STATE:
            raise UnusableItem(f"server state {document.state!r} is unknown")
        if not (server.isascii() and server.isprintable()):
            raise UnusableItem(f"server id {server!r} can't be sent in a header")
        entry = ServerEntry(
            server,
            document.service,
            parse_address(document.address),
            document.zone,
            document.slots,
            IS_LEAVING_BY_SERVER_STATE[document.state],
            min(max(document.warmup_left_ms / 1000, 0.0), MAX_WARM_UP_S),
            min(max(document.born, 0), MAX_STARTED_MS),
            min(max(document.sequence, 0), MAX_SEQUENCE),
        )
    except (*DECODE_ERRORS, BadAddressError, UnusableItem) as exc:
        fields = {"server": server, "revision": item.revision, "why": str(exc)}
        log.warning(
            "registration cannot be decoded; treating the server as removed",
            extra=fields,
        )
        return ServerRemoved(server)
    return ServerChanged(entry)


def _decode_value(item: ItemDocument) -> bytes:
    try:
        return base64.b64decode(item.value or "", validate=True)
    except ValueError as exc:
        raise UnusableItem(f"value of {item.key!r} is not base64") from exc


def _convert_config(document: ConfigDocument) -> GatewayConfig:
    limits = document.limits
    return GatewayConfig(
        document.version,
        tuple(_convert_route(route) for route in document.routes),
        {service.name: _convert_service(service) for service in document.services},
        RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _convert_route(document: RouteDocument) -> Route:
    if document.route_type not in IS_IDEMPOTENT_BY_ROUTE_TYPE:
        raise UnusableItem(f"route type {document.route_type!r} is unknown")
    services: tuple[WeightedService, ...] = ()
    if document.service is not None:
        services = (WeightedService(document.service, 1.0),)
    elif document.backends:
        services = tuple(
            WeightedService(b.service, b.weight) for b in document.backends
        )
    shards = tuple(document.fanout or ())
    if not services and not shards:
        raise UnusableItem(f"route {document.name!r} has neither a service nor shards")
    return Route(
        document.name,
        document.host.lower().encode(),
        document.prefix.encode(),
        IS_IDEMPOTENT_BY_ROUTE_TYPE[document.route_type],
        document.timeout_ms / 1000,
        (document.target_latency_ms or document.timeout_ms) / 1000,
        services,
        shards,
        max(1, document.max_attempts),
        document.top_k,
        document.min_coverage,
        frozenset(document.allowed_regions or ()),
    )


def _convert_service(document: ServiceDocument) -> Service:
    return Service(document.name, document.max_conns, document.warmup_per_s or None)
