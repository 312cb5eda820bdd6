"""Settings of an instance, loaded from the file that the platform writes."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml
from result import Err, Ok, Result

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.platform.address import Address, BadAddressError, parse_address
from currantwharf.platform.settings_file import SettingsFile

BYTES_PER_MBIT = 125_000


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one instance.

    The instance listens on `caller_address`, `readiness_address` and `peer_address`
    for callers, readiness checks and other instances. It reads the store at
    `store_address`, whose values have at most `max_value_bytes`.
    """

    instance_info: InstanceInfo
    caller_address: Address
    readiness_address: Address
    peer_address: Address
    store_address: Address
    max_value_bytes: int
    limits: GatewayLimits


def load_platform_settings(path: Path) -> Result[PlatformSettings, InvalidDocument]:
    """Load the platform's settings file; unknown fields are ignored.

    Scalars are read as text, and only those of known fields are converted. A date or a
    tag that YAML can't construct is then of no consequence in an unknown field.
    """
    try:
        content = yaml.load(path.read_bytes(), Loader=_select_loader())
        file = msgspec.convert(content, SettingsFile, strict=False)
        return Ok(_convert(file))
    except (OSError, yaml.YAMLError, *DECODE_ERRORS, BadAddressError) as exc:
        return Err(
            InvalidDocument(
                str(path),
                (Problem("file", str(exc), "the settings that the platform writes"),),
            )
        )


def _select_loader() -> type:
    return getattr(yaml, "CBaseLoader", yaml.BaseLoader)


def _convert(file: SettingsFile) -> PlatformSettings:
    bounds = file.bounds
    peer_address = parse_address(file.listen.control)
    seed_hosts = [parse_address(seed)[0] for seed in file.seeds]
    instance_info = InstanceInfo(
        file.node_name,
        file.ip,
        file.zone,
        file.region,
        file.zones,
        file.port_range[0],
        peer_address[1],
        tuple(dict.fromkeys(seed_hosts)),
        file.port_range[0] + 1,
        file.limits.cpu_share * file.limits.cores,
        file.limits.link_mbps * BYTES_PER_MBIT,
    )
    return PlatformSettings(
        instance_info,
        parse_address(file.listen.front),
        parse_address(file.listen.ready),
        peer_address,
        parse_address(file.platform.address),
        file.platform.value_bytes,
        GatewayLimits(
            bounds.retry_budget_ratio,
            bounds.budget_slack,
            bounds.retry_window_s,
            grace_s=bounds.grace_s,
            config_apply_s=bounds.config_apply_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
        ),
    )
