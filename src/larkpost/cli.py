"""The command line: ``serve`` and ``run`` run a daemon, other commands call one or read logs."""

import fileinput
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import orjson
import typer
from rich.console import Console

from larkpost.common.errors import LarkpostError
from larkpost.common.ids import Address
from larkpost.gateway.observability.batch_times import COLUMNS, read_batch_times, table
from larkpost.gateway.observability.explain import explain
from larkpost.platform.process import run as run_on_platform
from larkpost.rehearsal.commands import rehearsal
from larkpost.standalone import operator_calls
from larkpost.standalone.config.plan import Plan
from larkpost.standalone.server import run_server
from larkpost.standalone.settings import load_settings

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
intent = typer.Typer(no_args_is_help=True, help="Plan, confirm and show the configuration.")
app.add_typer(intent, name="intent")
app.add_typer(rehearsal, name="rehearsal")

console = Console()
error_console = Console(stderr=True)
DaemonOption = Annotated[str, typer.Option("--daemon", help="host:port of any daemon.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON instead of tables.")]


@contextmanager
def _reported_errors() -> Iterator[None]:
    """Prints an error with its remedy and exits with status 1."""
    try:
        yield
    except LarkpostError as error:
        error_console.print(f"error {error.code}: {error.message}", markup=False)
        error_console.print(f"remedy: {error.remedy}", markup=False)
        raise typer.Exit(1) from None


@contextmanager
def _log_lines(files: list[Path] | None) -> Iterator[Iterable[str]]:
    """Yields the lines of log files or standard input; exits with status 1 on a read error."""
    with fileinput.input(files or (), encoding="utf-8", errors="replace") as lines:
        try:
            yield lines
        except OSError as error:
            error_console.print(f"error unreadable_log: {error}", markup=False)
            error_console.print("remedy: Name readable files, one for each log.", markup=False)
            raise typer.Exit(1) from None


@app.command(name="explain")
def explain_id(
    identifier: Annotated[str, typer.Argument(help="Id of a request, batch, item or instance.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs of the daemons; standard input if none.")
    ] = None,
) -> None:
    """Print the story of one id across all daemons' logs, and what is missing from it."""
    with _log_lines(files) as lines:
        story = explain(lines, identifier)
    for line in story:
        print(line)


@app.command(name="batches")
def show_batches(
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs of the daemons; standard input if none.")
    ] = None,
) -> None:
    """Print a table of where the time of each batch went, from all daemons' logs."""
    with _log_lines(files) as lines:
        batches = read_batch_times(lines)
    print("\t".join(COLUMNS))
    for row in table(batches):
        print("\t".join(row))


@app.command()
def run() -> None:
    """Run a daemon on the platform, with the settings that the platform has written."""
    with _reported_errors():
        run_on_platform()


@app.command()
def serve(
    settings: Annotated[Path | None, typer.Option(help="TOML settings file.")] = None,
    daemon_id: Annotated[str | None, typer.Option(help="Unique name of the daemon.")] = None,
    zone: Annotated[str | None, typer.Option(help="Zone of the machine.")] = None,
    listen: Annotated[str | None, typer.Option(help="host:port to listen on.")] = None,
    peers: Annotated[str | None, typer.Option(help="Comma-separated host:port list.")] = None,
    platform: Annotated[str | None, typer.Option(help="host:port of the platform.")] = None,
) -> None:
    """Run a daemon until SIGTERM, then stop it without cutting a request."""
    overrides = {
        "daemon_id": daemon_id,
        "zone": zone,
        "listen": listen,
        "peers": tuple(peers.split(",")) if peers else None,
        "platform": platform,
    }
    with _reported_errors():
        checked = load_settings(settings, overrides)
        run_server(checked)


@app.command()
def status(daemon: DaemonOption, as_json: JsonOption = False) -> None:
    """Show what a daemon knows of the fleet."""
    with _reported_errors():
        fields = operator_calls.call_daemon(Address(daemon), "GET", "/v1/status")
    if as_json:
        typer.echo(orjson.dumps(fields).decode())
    else:
        operator_calls.show_status(console, fields)


@app.command()
def drain(engine: str, daemon: DaemonOption) -> None:
    """Take an engine out of service for good; what it runs is finished."""
    with _reported_errors():
        operator_calls.call_daemon(Address(daemon), "POST", f"/v1/engines/{engine}/drain")
    console.print(f"{engine} gets no new work.")


@intent.command("plan")
def plan_intent(
    file: Path,
    daemon: DaemonOption,
    output: Annotated[Path | None, typer.Option(help="Where to write the plan.")] = None,
) -> None:
    """Show what an intent (TOML) would move, load or stop. Nothing acts yet."""
    with _reported_errors():
        wanted = operator_calls.read_intent(file)
        body = wanted.model_dump_json().encode()
        fields = operator_calls.call_daemon(Address(daemon), "POST", "/v1/intent/plan", body)
    plan = Plan.model_validate(fields)
    operator_calls.show_plan(console, plan)
    if output is not None:
        output.write_text(plan.model_dump_json(indent=2), encoding="utf-8")
        console.print(f"Confirm it with: larkpost intent confirm {output} --daemon {daemon}")


@intent.command("confirm")
def confirm_plan(file: Path, daemon: DaemonOption) -> None:
    """Act on a plan. Repeating it after a lost answer is safe: a plan applies at most once."""
    with _reported_errors():
        body = operator_calls.read_plan(file).model_dump_json().encode()
        fields = operator_calls.call_daemon(Address(daemon), "POST", "/v1/intent/confirm", body)
    console.print(f"Epoch {fields['epoch']} is written.")
    console.print(f"In force in: {', '.join(fields['zones_in_force']) or 'no zone yet'}")
    if fields["zones_pending"]:
        console.print(f"Not yet seen in force in: {', '.join(fields['zones_pending'])}")


@intent.command("show")
def show_intent(daemon: DaemonOption) -> None:
    """Print the configuration in force at a daemon, as JSON."""
    with _reported_errors():
        fields = operator_calls.call_daemon(Address(daemon), "GET", "/v1/intent")
    typer.echo(orjson.dumps(fields, option=orjson.OPT_INDENT_2).decode())
