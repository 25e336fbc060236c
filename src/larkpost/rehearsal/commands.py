"""The ``larkpost rehearsal`` commands: stand-ins, demonstration, benchmark and experiments."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import orjson
import typer

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import Address, EngineId, PolicyId, PoolId, TrainerId
from larkpost.rehearsal.clients import ClientShape, run_clients
from larkpost.rehearsal.engine_server import run_engine
from larkpost.rehearsal.engine_types import EngineShape
from larkpost.rehearsal.platform_model import PlatformModel
from larkpost.rehearsal.platform_server import run_platform
from larkpost.rehearsal.trainer import run_trainer
from larkpost.rehearsal.workload import TrainerShape

rehearsal = typer.Typer(
    no_args_is_help=True, help="Stand-ins for engines, platform, trainers and clients."
)
DaemonsOption = Annotated[str, typer.Option(help="Comma-separated host:port list of daemons.")]


@rehearsal.command()
def engine(
    engine_id: Annotated[str, typer.Option(help="Name of the engine.")],
    listen: Annotated[str, typer.Option(help="host:port to listen on.")],
    platform: Annotated[str, typer.Option(help="host:port of the platform.")],
    slots: Annotated[int, typer.Option(help="Largest batch.")] = 16,
    step_ms: Annotated[float, typer.Option(help="Milliseconds of a step without load.")] = 8.0,
    swap_seconds: Annotated[float, typer.Option(help="Seconds of a weight swap.")] = 0.5,
) -> None:
    """Run a stand-in engine."""
    shape = EngineShape(slots=slots, step_base=step_ms / 1000, swap_seconds=swap_seconds)
    asyncio.run(run_engine(EngineId(engine_id), Address(listen), Address(platform), shape))


@rehearsal.command()
def platform(
    listen: Annotated[str, typer.Option(help="host:port to listen on.")],
    machine_lag: Annotated[float, typer.Option(help="Seconds the machine list lags.")] = 1.0,
) -> None:
    """Run the stand-in platform."""
    asyncio.run(run_platform(Address(listen), PlatformModel(machine_lag=machine_lag)))


@rehearsal.command()
def trainer(
    name: Annotated[str, typer.Option(help="Trainer of the intent.")],
    pool: Annotated[str, typer.Option(help="Pool to draw from.")],
    policy: Annotated[str, typer.Option(help="Policy that it trains.")],
    daemons: DaemonsOption,
    platform: Annotated[str, typer.Option(help="host:port of the platform.")],
    seconds: Annotated[float, typer.Option(help="Time after which it ends its run.")] = 20.0,
    prompts: int = 8,
    samples_per_prompt: int = 4,
    max_tokens: int = 256,
    staleness_bound: int = 2,
    train_seconds: float = 1.0,
    ahead: int = 1,
    seed: int = 1,
) -> None:
    """Run a stand-in trainer; its record is printed as JSON at the end."""
    shape = TrainerShape(
        TrainerId(name),
        PoolId(pool),
        PolicyId(policy),
        prompts=prompts,
        samples_per_prompt=samples_per_prompt,
        max_tokens=max_tokens,
        staleness_bound=staleness_bound,
        train_seconds=train_seconds,
        ahead=ahead,
    )
    addresses = _addresses(daemons)
    record = asyncio.run(run_trainer(shape, addresses, Address(platform), seconds, seed))
    sys.stdout.write(orjson.dumps(record).decode() + "\n")


@rehearsal.command()
def clients(
    service: Annotated[str, typer.Option(help="Service of the intent.")],
    daemons: DaemonsOption,
    seconds: Annotated[float, typer.Option(help="Time during which requests are sent.")] = 20.0,
    rate: Annotated[float, typer.Option(help="Requests a second at the peak.")] = 10.0,
    max_tokens: int = 32,
    seed: int = 1,
) -> None:
    """Run a service's clients; their record is printed as JSON at the end."""
    shape = ClientShape(service, rate=rate, day_seconds=seconds, max_tokens=max_tokens)
    record = asyncio.run(run_clients(shape, _addresses(daemons), seconds, seed))
    sys.stdout.write(orjson.dumps(record).decode() + "\n")


@rehearsal.command()
def demo(
    seconds: Annotated[float, typer.Option(help="Time of load.")] = 20.0,
    faults: Annotated[bool, typer.Option(help="Kill an engine and a daemon midway.")] = True,
    output: Annotated[Path | None, typer.Option(help="Folder that keeps all output.")] = None,
) -> None:
    """Run both sites of the brief as real processes; exit 1 if a must-hold count is not zero."""
    from larkpost.rehearsal.demo import run_demo

    raise typer.Exit(run_demo(seconds, faults, output))


@rehearsal.command()
def instant_engine(listen: Annotated[str, typer.Option(help="host:port to listen on.")]) -> None:
    """Run an engine that answers at once; used by `bench`."""
    from larkpost.rehearsal.bench_servers import run_instant_engine

    asyncio.run(run_instant_engine(EngineId("instant"), Address(listen)))


@rehearsal.command()
def bare_relay(
    listen: Annotated[str, typer.Option(help="host:port to listen on.")],
    engine: Annotated[str, typer.Option(help="host:port of the engine.")],
) -> None:
    """Run a relay without logic; the baseline of `bench`."""
    from larkpost.rehearsal.bench_servers import run_bare_relay

    asyncio.run(run_bare_relay(Address(listen), Address(engine)))


@rehearsal.command()
def bench(
    output: Annotated[Path | None, typer.Option(help="JSON file for the figures.")] = None,
) -> None:
    """Measure what larkpost adds to a bare relay of the same libraries."""
    from larkpost.rehearsal.bench import run_bench

    run_bench(output)


@rehearsal.command()
def experiment(
    scenario: Annotated[str, typer.Argument(help="TOML file, or name of a bundled scenario.")],
    output: Annotated[Path | None, typer.Option(help="JSON report.")] = None,
    plot: Annotated[Path | None, typer.Option(help="PNG file; needs the extra `plots`.")] = None,
    weights: Annotated[
        str, typer.Option(help="Comma-separated staleness weights to try with larkpost.")
    ] = "",
    seeds: Annotated[int, typer.Option(help="Use the first so many seeds; 0 for all.")] = 0,
) -> None:
    """Compare policies on a scenario on virtual time, over several seeds."""
    from larkpost.rehearsal.experiment.report import run_experiment
    from larkpost.rehearsal.experiment.scenario import load_scenario

    try:
        loaded = load_scenario(scenario)
        if seeds:
            loaded = loaded.model_copy(update={"seeds": loaded.seeds[:seeds]})
        chosen = [float(weight) for weight in weights.split(",") if weight]
        run_experiment(loaded, chosen, output, plot)
    except LarkpostError as error:
        typer.echo(f"error {error.code}: {error.message}\nremedy: {error.remedy}", err=True)
        raise typer.Exit(1) from None


def _addresses(text: str) -> list[Address]:
    return [Address(part) for part in text.split(",") if part]
