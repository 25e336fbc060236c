"""Parses and validates the settings file that the platform writes for a process.

Unknown fields are ignored, as the file also serves other programs. Durations are converted to
seconds.
"""

import os
import resource
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from larkpost.common.addresses import split_address
from larkpost.common.errors import SettingsError
from larkpost.common.ids import Address, RegionId, ZoneId
from larkpost.gateway.blackboard.cold_instances import ColdTerms
from larkpost.gateway.blackboard.regions import RegionMap
from larkpost.gateway.usage.port import UsageTerms
from larkpost.platform import names

DEFAULT_ROW_BYTES = 65536
DEFAULT_CONTACT_MS = 3000
DEFAULT_LEASE_MS = 3000
DEFAULT_APPLY_MS = 2000
DEFAULT_GRACE_SECONDS = 8
DEFAULT_BATCH_LIFETIME_SECONDS = 120
DEFAULT_WINDOW_SECONDS = 5
DEFAULT_REPORT_DUE_SECONDS = 10
"""Defaults for fields that the file leaves out."""
MAX_PORT = 65535
BYTES_PER_MB = 1_000_000


class MetricsEndpoint(NamedTuple):
    """Where metrics are served: a port, and a path that begins with a slash."""

    port: int
    path: str


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's settings for one daemon; durations in seconds.

    Attributes:
        regions: regions of the deployment's zones, relative to this daemon's zone.
        front: address at which the daemon listens for clients.
        ready: address at which the daemon reports its readiness.
        store: address of the store.
        row_bytes: maximum size of a row's value in bytes.
        contact_time: time without a fault after which updates from the store are trusted.
        lease_time: time after a holder's last order before another holder may order.
        apply_time: time within which a new configuration must be in force everywhere.
        grace_time: time between the request to stop and the kill.
        batch_lifetime: time after its submission for which a batch must be readable.
        peer: address at which this daemon relays store calls for peers; None if no port is
            configured.
        metrics: where metrics are served; None to serve none.
        duties: address of the platform's API, which one daemon at a time calls; None if not set.
        max_descriptors: maximum number of file descriptors of this daemon.
        memory_bytes: memory limit of this daemon; None if not set.
        cores: CPU limit of this daemon in reference cores; None if not set.
        usage: terms of the usage reports; None to send none.
        orders_servers: whether servers may be ordered from the platform.
        cold: terms for cold servers; None if there are none.
    """

    machine: str
    ip: str
    zone: ZoneId
    regions: RegionMap
    front: Address
    ready: Address
    store: Address
    peer: Address | None
    row_bytes: int
    contact_time: float
    lease_time: float
    apply_time: float
    grace_time: float
    batch_lifetime: float
    metrics: MetricsEndpoint | None
    duties: Address | None
    max_descriptors: int
    memory_bytes: int | None
    cores: float | None
    usage: UsageTerms | None
    orders_servers: bool
    cold: ColdTerms | None


def settings_path() -> Path:
    """Returns the path of the settings file."""
    return Path(os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH))


def load_platform_settings(path: Path) -> PlatformSettings:
    """Loads and validates the settings; unknown fields are ignored.

    Raises:
        SettingsError: the file or a field is missing or invalid; the message names it.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"settings file {path} cannot be read: {error.strerror}",
            remedy=f"Name a readable TOML file in {names.SETTINGS_VARIABLE}.",
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"settings file {path} is not TOML: {error}", remedy="Correct the file."
        ) from None
    return _read(document)


def _read(document: dict[str, Any]) -> PlatformSettings:
    ip = _text(document, "ip")
    zone = ZoneId(_text(document, "zone"))
    return PlatformSettings(
        machine=_text(document, "node"),
        ip=ip,
        zone=zone,
        regions=_regions(document, zone),
        front=_address(document, "listen", "front"),
        ready=_address(document, "listen", "ready"),
        store=_address(document, "platform", "address"),
        peer=_peer(document, ip),
        row_bytes=int(_number(document, "platform", "row_bytes", default=DEFAULT_ROW_BYTES)),
        contact_time=_number(document, "bounds", "contact-ms", default=DEFAULT_CONTACT_MS) / 1000,
        lease_time=_number(document, "bounds", "lease-ms", default=DEFAULT_LEASE_MS) / 1000,
        apply_time=_number(document, "bounds", "config-apply-ms", default=DEFAULT_APPLY_MS) / 1000,
        grace_time=_number(document, "bounds", "grace-s", default=DEFAULT_GRACE_SECONDS),
        batch_lifetime=_number(
            document, "bounds", "status-s", default=DEFAULT_BATCH_LIFETIME_SECONDS
        ),
        metrics=_metrics(document),
        duties=_optional_address(document, "cloud-api", "address"),
        max_descriptors=int(_number(document, "limits", "max-fds", default=_descriptor_limit())),
        memory_bytes=_memory(document),
        cores=_cores(document),
        usage=_usage(document),
        orders_servers=_has_duty(document, names.SCALING_DUTY),
        cold=_cold(document),
    )


def _descriptor_limit() -> int:
    """Returns the soft limit of file descriptors of this process."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def _memory(document: dict[str, Any]) -> int | None:
    if _find(document, ("limits", "memory-mb")) is None:
        return None
    return int(_number(document, "limits", "memory-mb", default=1) * BYTES_PER_MB)


def _cores(document: dict[str, Any]) -> float | None:
    """Returns the CPU limit in reference cores: the core's speed ``cores`` times ``cpu-share``."""
    if _find(document, ("limits", "cores")) is None:
        return None
    speed = _number(document, "limits", "cores", default=1)
    return speed * _number(document, "limits", "cpu-share", default=1)


def _regions(document: dict[str, Any], zone: ZoneId) -> RegionMap:
    zone_regions = _find(document, ("zones",))
    if zone_regions is None:
        zone_regions = {}
    if not isinstance(zone_regions, dict):
        raise _invalid(("zones",), zone_regions, "a table of zones with their regions")
    regions = {
        ZoneId(name): RegionId(_text(zone_regions, name, of=("zones",))) for name in zone_regions
    }
    own = RegionId(_text(document, "region")) if "region" in document else None
    if own is not None and regions.get(zone, own) != own:
        raise _invalid(("region",), own, f"the region of zone {zone}, {regions[zone]!r}")
    return RegionMap(zone, regions, own)


def _find(document: dict[str, Any], path: tuple[str, ...]) -> Any:
    value: Any = document
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _text(document: dict[str, Any], *path: str, of: tuple[str, ...] = ()) -> str:
    """Returns a non-empty string; ``of`` is the path of the table ``document``, for errors."""
    value = _find(document, path)
    if not isinstance(value, str) or not value:
        raise _invalid((*of, *path), value, "a non-empty string")
    return value


def _address(document: dict[str, Any], *path: str) -> Address:
    value = _text(document, *path)
    try:
        split_address(value)
    except ValueError:
        raise _invalid(path, value, "an address, IP:PORT") from None
    return Address(value)


def _optional_address(document: dict[str, Any], *path: str) -> Address | None:
    return _address(document, *path) if _find(document, path) else None


def _has_duty(document: dict[str, Any], duty: str) -> bool:
    return duty in (_find(document, ("cloud-api", "duties")) or ())


def _usage(document: dict[str, Any]) -> UsageTerms | None:
    if not _has_duty(document, names.USAGE_DUTY):
        return None
    return UsageTerms(
        window_length=_number(
            document, "bounds", "report-window-s", default=DEFAULT_WINDOW_SECONDS
        ),
        due_after=_number(document, "bounds", "usage-late-s", default=DEFAULT_REPORT_DUE_SECONDS),
    )


def _cold(document: dict[str, Any]) -> ColdTerms | None:
    if _find(document, ("bounds", "cold-overage")) is None:
        return None
    slack = _find(document, ("bounds", "cold-slack"))
    return ColdTerms(
        overage=_number(document, "bounds", "cold-overage", default=1.0),
        slack=_number(document, "bounds", "cold-slack", default=1) if slack else 0.0,
    )


def _number(document: dict[str, Any], *path: str, default: float) -> float:
    value = _find(document, path)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise _invalid(path, value, "a number above 0")
    return float(value)


def _peer(document: dict[str, Any], ip: str) -> Address | None:
    ports = _find(document, ("port-range",))
    if not ports:
        return None
    if not isinstance(ports, list) or not isinstance(ports[0], int) or not 0 < ports[0] <= MAX_PORT:
        raise _invalid(("port-range",), ports, "a list of ports")
    return Address(f"{ip}:{ports[0]}")


def _metrics(document: dict[str, Any]) -> MetricsEndpoint | None:
    value = _find(document, ("metrics",))
    if not value:
        return None
    port, separator, path = str(value).partition("/")
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT or not separator:
        raise _invalid(("metrics",), value, "PORT/PATH")
    return MetricsEndpoint(int(port), f"/{path}")


def _invalid(path: tuple[str, ...], value: Any, expected: str) -> SettingsError:
    name = ".".join(path)
    return SettingsError(
        f"{name} is {value!r}, but must be {expected}", remedy=f"Correct {name} in the settings."
    )
