"""Calls of the operators' commands to a daemon, and the display of the results."""

import asyncio
import tomllib
from pathlib import Path

import aiohttp
import orjson
from pydantic import ValidationError
from rich.console import Console
from rich.table import Table

from larkpost.client import DaemonUnreachableError, parse_error
from larkpost.common.errors import InvalidRequestError, Ran
from larkpost.common.ids import Address
from larkpost.standalone.config.intent import Intent
from larkpost.standalone.config.plan import Plan
from larkpost.standalone.settings import describe_validation

CALL_TIMEOUT = 30.0
"""Seconds to wait for an answer; longer than a confirmation waits for the zones."""


def call_daemon(daemon: Address, method: str, path: str, body: bytes = b"") -> dict:
    """Calls a daemon and returns its decoded answer.

    Raises:
        LarkpostError: the daemon refused, or did not answer.
    """
    return asyncio.run(_call(daemon, method, path, body))


async def _call(daemon: Address, method: str, path: str, body: bytes) -> dict:
    client_timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT, sock_connect=2.0)
    try:
        async with (
            aiohttp.ClientSession(timeout=client_timeout) as session,
            session.request(method, f"http://{daemon}{path}", data=body) as response,
        ):
            content = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise DaemonUnreachableError(
            f"daemon {daemon} does not answer: {error!r}", ran=Ran.UNKNOWN
        ) from error
    if response.status >= 400:
        raise parse_error(response.status, content)
    return orjson.loads(content) if content else {}


def read_intent(path: Path) -> Intent:
    """Reads an intent from a TOML file.

    Raises:
        InvalidRequestError: the file cannot be read or is not a valid intent.
    """
    try:
        return Intent.model_validate(tomllib.loads(path.read_text(encoding="utf-8")))
    except ValidationError as error:
        raise InvalidRequestError(f"{path}: {describe_validation(error)}") from None
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidRequestError(f"{path}: {error}", remedy="Name a readable TOML file.") from None


def read_plan(path: Path) -> Plan:
    """Reads a plan that `larkpost intent plan` wrote.

    Raises:
        InvalidRequestError: the file cannot be read or is not a valid plan.
    """
    try:
        return Plan.model_validate_json(path.read_bytes())
    except (OSError, ValidationError) as error:
        raise InvalidRequestError(
            f"{path} is not a valid plan: {error}",
            remedy="Create one with `larkpost intent plan`.",
        ) from None


def show_plan(console: Console, plan: Plan) -> None:
    """Prints a plan's steps."""
    table = Table(title=f"{plan.plan_id} against epoch {plan.base_epoch}")
    for column in ("step", "subject", "detail"):
        table.add_column(column)
    for action in plan.actions:
        table.add_row(action.kind, action.subject, action.detail)
    console.print(table)
    if not plan.actions:
        console.print("Nothing would change.")


def show_status(console: Console, status: dict) -> None:
    """Prints a daemon's status with its members and engines."""
    console.print(
        f"{status['daemon']} in {status['zone']}: {status['phase']}, "
        f"epoch {status['epoch']}, {status['open_batches']} open batches"
    )
    members = Table(title="daemons")
    for column in ("id", "zone", "state"):
        members.add_column(column)
    for member in status["members"]:
        members.add_row(member["id"], member["zone"], member["state"])
    engines = Table(title="engines")
    columns = ("id", "pool", "zone", "owner", "version", "running", "waiting", "slots", "leaving")
    for column in columns:
        engines.add_column(column)
    for engine in status["engines"]:
        engines.add_row(*(str(engine[column]) for column in columns))
    console.print(members, engines)
