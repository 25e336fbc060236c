"""Writes the settings file of a daemon in the platform's format."""

from dataclasses import dataclass
from pathlib import Path

from larkpost.common.addresses import split_address
from larkpost.common.ids import Address, ZoneId
from larkpost.platform import names

TEMPLATE = """\
node = "{machine}"
role = "larkpost"
machine-class = "front"
ip = "127.0.0.1"
zone = "{zone}"
region = "demo"
port-range = [{peer_port},{peer_port}]
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
contact-ms = 3000
lease-ms = 3000
grace-s = 8
status-s = 120
config-apply-ms = 2000
report-window-s = 5
usage-late-s = 10
[platform]
address = "{store}"
row_bytes = 65536
[cloud-api]
address = "{store}"
duties = ["usage"]
"""


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """The machine, zone and addresses of a daemon.

    Attributes:
        memory_mb: the machine's memory in MB; None to leave it out.
    """

    machine: str
    zone: ZoneId
    front: Address
    ready: Address
    peer: Address
    store: Address
    memory_mb: int | None = None


def write_settings(settings: DaemonSettings, folder: Path) -> dict[str, str]:
    """Writes a daemon's settings file and returns the environment variables that point to it."""
    path = folder / f"{settings.machine}.toml"
    text = TEMPLATE.format(
        machine=settings.machine,
        zone=settings.zone,
        front=settings.front,
        ready=settings.ready,
        peer_port=split_address(settings.peer)[1],
        store=settings.store,
    )
    if settings.memory_mb is not None:
        text += f"[limits]\nmemory-mb = {settings.memory_mb}\n"
    path.write_text(text, encoding="utf-8")
    return {names.SETTINGS_VARIABLE: str(path)}


def ready_path() -> str:
    """Returns the path of a daemon's readiness check."""
    return names.READY_PATH
