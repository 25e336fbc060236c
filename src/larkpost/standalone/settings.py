"""Validated settings of a daemon, from a TOML file and flags. Flags take precedence."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from pydantic_settings import (
    BaseSettings,
    PydanticBaseSettingsSource,
    SettingsConfigDict,
    TomlConfigSettingsSource,
)

from larkpost.common.addresses import split_address
from larkpost.common.errors import SettingsError
from larkpost.common.ids import Address, DaemonId, ZoneId


class PlacementKind(StrEnum):
    """Placement policy of rollouts; `standalone.batches.placement` has a class for each."""

    LOAD = "load"
    ROUND_ROBIN = "round_robin"


class _Section(BaseModel):
    """Rejects unknown settings."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class MembershipSettings(_Section):
    """Failure detection between daemons."""

    probe_interval: float = Field(
        default=1.0, gt=0, description="Seconds between two probes; each daemon sends one a period."
    )
    probe_timeout: float = Field(
        default=0.4, gt=0, description="Seconds to wait for a direct answer before asking helpers."
    )
    indirect_probes: int = Field(default=3, ge=0, description="Helpers asked to probe.")
    suspicion_time: float = Field(
        default=3.0,
        gt=0,
        description="Seconds a suspect has to refute before it is held dead, in a fleet of ten; "
        "grows with the logarithm of the fleet's size.",
    )
    forget_time: float = Field(
        default=900.0, gt=0, description="Seconds after which a dead daemon is no longer probed."
    )


class ConfigurationSettings(_Section):
    """Reading the table service."""

    duty_poll_interval: float = Field(
        default=2.0, gt=0, description="Seconds between reads by the daemons on duty in a zone."
    )
    background_poll_interval: float = Field(
        default=60.0, gt=0, description="Seconds between reads by every other daemon."
    )
    validity_time: float = Field(
        default=10.0,
        gt=0,
        description="Seconds a daemon acts on its configuration after it was last verified by the "
        "table service or its zone. Longer rides out longer pauses on an old epoch.",
    )
    lost_grace: float = Field(
        default=30.0,
        gt=0,
        description="Seconds a daemon must be held dead before a confirmation reports its zone as "
        "in force without it; must exceed validity_time.",
    )
    platform_timeout: float = Field(
        default=2.0, gt=0, description="Seconds to wait for one answer of the platform."
    )


class EngineSettings(_Section):
    """Watching and owning engines."""

    report_interval: float = Field(
        default=1.0, gt=0, description="Seconds between two load reports asked of an owned engine."
    )
    report_timeout: float = Field(default=1.0, gt=0, description="Seconds to wait for a report.")
    report_lifetime: float = Field(
        default=3.0,
        gt=0,
        description="Seconds a report serves for dispatch; after it the engine itself is asked.",
    )
    watched_per_pool: int = Field(
        default=24,
        ge=1,
        description="Engines of a pool whose load this daemon follows. Raise it for pools of very "
        "uneven engines; each costs about 40 bytes a second.",
    )
    watched_remote: int = Field(
        default=4,
        ge=0,
        description="Engines of other zones that are followed as well when the zone has too few.",
    )
    order_timeout: float = Field(default=5.0, gt=0, description="Seconds to wait for an order.")


class RoutingSettings(_Section):
    """Admission, retries and time limits of the data path."""

    max_client_requests: int = Field(
        default=1024,
        ge=1,
        description="Client requests at this daemon before new ones are refused.",
    )
    retry_ratio: float = Field(
        default=0.1, ge=0, le=1, description="Retries earned by each request of a caller or engine."
    )
    retry_reserve: float = Field(
        default=10.0, ge=0, description="Retries a caller or engine may spend at once."
    )
    backoff_base: float = Field(default=0.05, gt=0, description="Seconds before a first retry.")
    backoff_limit: float = Field(default=2.0, gt=0, description="Longest wait before a retry.")
    chunk_timeout: float = Field(
        default=5.0, gt=0, description="Seconds without a chunk after which an answer is broken."
    )
    rollout_chunk_timeout: float = Field(
        default=20.0,
        gt=0,
        description="The same for rollouts, which wait longer in an engine's queue behind clients.",
    )
    avoid_time: float = Field(
        default=2.0, gt=0, description="Seconds a failed engine gets no new work from this daemon."
    )
    default_deadline: float = Field(
        default=60.0, gt=0, description="Seconds for a client request that names no deadline."
    )


class BatchSettings(_Section):
    """Rollout batches and the handling of their longest samples."""

    max_batches: int = Field(default=64, ge=1, description="Open batches at this daemon.")
    page_size: int = Field(default=64, ge=1, description="Most samples in one page.")
    pull_wait: float = Field(
        default=2.0, ge=0, description="Seconds a pull may wait for the first finished sample."
    )
    replicate_interval: float = Field(
        default=0.1,
        gt=0,
        description="Seconds over which finished samples are grouped for copying.",
    )
    idle_timeout: float = Field(
        default=120.0, gt=0, description="Seconds without a pull after which a batch is dropped."
    )
    placement: PlacementKind = Field(
        default=PlacementKind.LOAD,
        description="How a rollout's engine is chosen: by load, or in turn (a baseline).",
    )
    longest_first: bool = Field(
        default=True, description="Start prompts with the highest expected length first."
    )
    keep_groups: bool = Field(
        default=True, description="Prefer one engine for the samples of one prompt (shared prefix)."
    )
    duplicate_slow: bool = Field(
        default=True,
        description="Continue samples of engines much slower than the others on a second engine as "
        "well. Samples of engines that went silent are always continued.",
    )
    sample_timeout: float = Field(
        default=600.0, gt=0, description="Seconds after which one attempt at a sample is given up."
    )


class Settings(BaseSettings):
    """All settings of one daemon. Arguments take precedence over the TOML file."""

    model_config = SettingsConfigDict(extra="forbid", frozen=True)

    daemon_id: DaemonId = Field(description="Unique name of the daemon.")
    zone: ZoneId = Field(description="Zone the machine stands in.")
    listen: Address = Field(description="host:port for HTTP (TCP) and membership (UDP).")
    peers: tuple[Address, ...] = Field(
        default=(), description="Daemons asked when joining, in any zone; a few per zone suffice."
    )
    platform: Address = Field(description="host:port of the platform's services.")
    membership: MembershipSettings = MembershipSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    engines: EngineSettings = EngineSettings()
    routing: RoutingSettings = RoutingSettings()
    batches: BatchSettings = BatchSettings()

    @classmethod
    def settings_customise_sources(
        cls,
        settings_cls: type[BaseSettings],
        init_settings: PydanticBaseSettingsSource,
        env_settings: PydanticBaseSettingsSource,
        dotenv_settings: PydanticBaseSettingsSource,
        file_secret_settings: PydanticBaseSettingsSource,
    ) -> tuple[PydanticBaseSettingsSource, ...]:
        """Uses arguments and the file only, so that environment variables have no effect."""
        return init_settings, TomlConfigSettingsSource(settings_cls)

    @field_validator("listen", "platform")
    @classmethod
    def _check_address(cls, value: str) -> str:
        split_address(value)
        return value

    @field_validator("peers")
    @classmethod
    def _check_peers(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for address in value:
            split_address(address)
        return value


def load_settings(path: Path | None, overrides: dict[str, Any]) -> Settings:
    """Reads and validates the settings.

    Args:
        path: a TOML file, or None.
        overrides: top-level settings given as flags; None values are ignored.

    Raises:
        SettingsError: the file is unreadable, or a setting is missing, unknown or invalid; the
            message names each.
    """

    class FileSettings(Settings):
        model_config = SettingsConfigDict(toml_file=path)

    given = {name: value for name, value in overrides.items() if value is not None}
    try:
        if path is not None:
            path.read_bytes()
        return FileSettings(**given)
    except ValidationError as error:
        raise SettingsError(describe_validation(error)) from None
    except OSError as error:
        raise SettingsError(
            f"settings file {path} cannot be read: {error.strerror}",
            remedy="Name a readable TOML file with --settings.",
        ) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"settings file {path} is not TOML: {error}", remedy="Correct its TOML syntax."
        ) from None


def describe_validation(error: ValidationError) -> str:
    """Returns one clause per invalid field, with its name and the problem."""
    clauses = []
    for problem in error.errors():
        name = ".".join(str(part) for part in problem["loc"]) or "document"
        clauses.append(f"{name}: {problem['msg']}")
    return "; ".join(clauses)
