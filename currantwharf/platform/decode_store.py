"""Decode what stands in the store into this project's types."""

import base64
import binascii

import msgspec
from result import Err, Ok, Result

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

IS_LEAVING_BY_STATE = {
    "ready": False,
    "draining": True,
}  # state of a server: whether it leaves
IS_IDEMPOTENT_BY_ROUTE_TYPE = {"idempotent": True, "non_idempotent": False}

log = component_logger("store")


class UnusableItem(Exception):  # noqa: N818
    """An item of the store that is not what it should be."""


def decode_item(item: ItemDocument) -> RevisedChange | None:
    """Return what an item says, or None for one that is of no concern here.

    A registration that can't be read names no server to use, so it counts as ended.
    A configuration that can't be read leaves the one in force.
    """
    change = _decode(item)
    if change is None:
        return None
    return RevisedChange(item.revision, change)


def decode_config(document: bytes) -> Result[GatewayConfig, UnusableItem]:
    """Return the configuration in a document."""
    try:
        found = msgspec.json.decode(document, type=ConfigDocument)
        return Ok(_translate_config(found))
    except (msgspec.DecodeError, UnusableItem) as exc:
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
        log.warning("configuration unreadable", extra={"why": str(exc)})
        return None
    found = decode_config(document)
    if isinstance(found, Err):
        why = str(found.unwrap_err())
        log.warning("configuration unreadable", extra={"why": why})
        return None
    return ConfigChanged(found.unwrap())


def _decode_server(server: str, item: ItemDocument) -> StoreChange:
    if item.value is None:
        return ServerRemoved(server)
    try:
        found = msgspec.json.decode(_decode_value(item), type=ServerDocument)
        if found.state not in IS_LEAVING_BY_STATE:
            raise UnusableItem(f"state {found.state!r} is not known")
        entry = ServerEntry(
            server,
            found.service,
            parse_address(found.address),
            found.zone,
            found.slots,
            IS_LEAVING_BY_STATE[found.state],
            found.warmup_left_ms / 1000,
        )
    except (msgspec.DecodeError, BadAddressError, UnusableItem) as exc:
        fields = {"server": server, "revision": item.revision, "why": str(exc)}
        log.warning("registration unreadable", extra=fields)
        return ServerRemoved(server)
    return ServerChanged(entry)


def _decode_value(item: ItemDocument) -> bytes:
    try:
        return base64.b64decode(item.value or "", validate=True)
    except binascii.Error as exc:
        raise UnusableItem(f"value of {item.key!r} is not base64") from exc


def _translate_config(found: ConfigDocument) -> GatewayConfig:
    limits = found.limits
    return GatewayConfig(
        found.version,
        tuple(_translate_route(route) for route in found.routes),
        {service.name: _translate_service(service) for service in found.services},
        RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _translate_route(found: RouteDocument) -> Route:
    if found.route_type not in IS_IDEMPOTENT_BY_ROUTE_TYPE:
        raise UnusableItem(f"route type {found.route_type!r} is not known")
    services: tuple[WeightedService, ...] = ()
    if found.service is not None:
        services = (WeightedService(found.service, 1.0),)
    elif found.backends:
        services = tuple(WeightedService(b.service, b.weight) for b in found.backends)
    shards = tuple(found.fanout or ())
    if not services and not shards:
        raise UnusableItem(f"route {found.name!r} names no service")
    return Route(
        found.name,
        found.host.lower().encode(),
        found.prefix.encode(),
        IS_IDEMPOTENT_BY_ROUTE_TYPE[found.route_type],
        found.timeout_ms / 1000,
        (found.target_latency_ms or found.timeout_ms) / 1000,
        found.priority,
        services,
        shards,
        max(1, found.max_attempts),
        found.top_k,
        found.min_coverage,
        frozenset(found.allowed_regions or ()),
    )


def _translate_service(found: ServiceDocument) -> Service:
    return Service(found.name, found.max_conns, found.warmup_per_s or None)
