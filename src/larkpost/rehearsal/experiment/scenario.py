"""Scenario files: a site, its load over time, and scheduled faults."""

import tomllib
from enum import StrEnum
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from larkpost.common.errors import InvalidRequestError
from larkpost.rehearsal.sites import SITES, Site
from larkpost.standalone.settings import describe_validation

BUNDLED_SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class FaultKind(StrEnum):
    """The fault and recovery events of a scenario."""

    KILL_ENGINE = "kill_engine"
    SLOW_ENGINE = "slow_engine"
    START_ENGINE = "start_engine"
    KILL_DAEMON = "kill_daemon"
    START_DAEMON = "start_daemon"
    LOSE_ZONE = "lose_zone"
    CUT_ZONES = "cut_zones"
    PLATFORM_DOWN = "platform_down"
    HEAL = "heal"


class Fault(_Section):
    """A fault or recovery event at a given time."""

    at: float = Field(ge=0, description="Virtual seconds after the start of the load.")
    kind: FaultKind
    target: str = Field(default="", description="Engine, daemon or zone.")
    other: str = Field(default="", description="Second zone of a cut.")
    factor: float = Field(default=1.0, gt=0, description="How much slower an engine gets.")


class TrainerLoad(_Section):
    """Load of the site's trainer."""

    prompts: int = 16
    samples_per_prompt: int = 4
    max_tokens: int = 512
    staleness_bound: int = 2
    train_seconds: float = 4.0
    ahead: int = Field(default=1, description="Batches opened before the one being trained on.")
    staleness_weight: float | None = Field(
        default=None, description="Replaces the weight of the site's intent."
    )


class ClientLoad(_Section):
    """Load of the site's clients; the curve gives shares of the peak rate at even intervals."""

    peak_rate: float = Field(default=10.0, ge=0, description="Requests a second, each service.")
    curve: tuple[float, ...] = (1.0,)
    max_tokens: int = 48


class Scenario(_Section):
    """One experiment."""

    name: str
    site: str
    seconds: float = Field(default=120.0, gt=0)
    daemons_per_zone: int = Field(default=1, ge=1)
    seeds: tuple[int, ...] = (1, 2, 3, 4, 5)
    policies: tuple[str, ...] = ("larkpost", "round_robin", "least_loaded", "no_tail")
    trainer: TrainerLoad | None = TrainerLoad()
    clients: ClientLoad = ClientLoad()
    faults: tuple[Fault, ...] = ()

    def find_site(self) -> Site:
        """Returns the site.

        Raises:
            InvalidRequestError: there is no such site.
        """
        for site in SITES:
            if site.name == self.site:
                return site
        names = ", ".join(site.name for site in SITES)
        raise InvalidRequestError(f"unknown site {self.site!r}", remedy=f"Use one of {names}.")


def load_scenario(name: str) -> Scenario:
    """Reads a scenario from a file, or a bundled one by its name.

    Raises:
        InvalidRequestError: it does not exist, is not TOML, or a field is invalid.
    """
    path = Path(name)
    if not path.exists():
        path = BUNDLED_SCENARIOS / f"{name}.toml"
    if not path.exists():
        names = ", ".join(sorted(p.stem for p in BUNDLED_SCENARIOS.glob("*.toml")))
        raise InvalidRequestError(
            f"scenario {name!r} does not exist", remedy=f"Use a TOML file, or one of {names}."
        )
    return parse_scenario(path.read_text(encoding="utf-8"))


def parse_scenario(text: str) -> Scenario:
    """Parses a scenario from TOML text.

    Raises:
        InvalidRequestError: the text is not TOML, or a field is invalid.
    """
    try:
        values: dict[str, Any] = tomllib.loads(text)
        return Scenario.model_validate(values)
    except ValidationError as error:
        raise InvalidRequestError(describe_validation(error)) from None
    except tomllib.TOMLDecodeError as error:
        raise InvalidRequestError(
            f"the scenario is not valid TOML: {error}", remedy="Correct the file."
        ) from None
