"""Load on a site's processes, and a summary of the records of trainers, clients and engines."""

from collections import Counter
from dataclasses import dataclass

import orjson

from larkpost.rehearsal.processes import Process, RehearsalError
from tests.process_fleet import Fleet

MUST_BE_ZERO = (
    "samples_doubled",
    "samples_lost",
    "samples_stale",
    "version_mismatches",
    "client_wrong_answers",
    "false_not_run",
    "run_once_repeated",
)
CLIENT_RATE = 12.0
END_TIMEOUT = 40.0
TRAINER_COUNTS = (
    "samples_expected",
    "samples_delivered",
    "samples_doubled",
    "samples_lost",
    "samples_stale",
    "version_mismatches",
)


@dataclass(slots=True)
class SiteLoad:
    """The load processes of one site."""

    fleet: Fleet
    trainer: Process
    clients: list[Process]


def start_load(fleet: Fleet, seconds: float, seed: int) -> SiteLoad:
    """Starts a site's trainer and clients for a number of seconds."""
    site = fleet.site
    daemons = f"--daemons={fleet.daemon_list()}"
    trainer = fleet.group.start(
        f"{site.name}-trainer",
        "rehearsal",
        "trainer",
        f"--name={site.trainer}",
        f"--pool={site.trainer_pool}",
        f"--policy={site.policy}",
        daemons,
        f"--platform={fleet.platform.address}",
        f"--seconds={seconds}",
        f"--seed={seed}",
    )
    clients = [
        fleet.group.start(
            f"{site.name}-clients-{service}",
            "rehearsal",
            "clients",
            f"--service={service}",
            daemons,
            f"--seconds={seconds}",
            f"--rate={CLIENT_RATE}",
            f"--seed={seed}",
        )
        for service in site.services
    ]
    return SiteLoad(fleet, trainer, clients)


def wait_for_load(loads: list[SiteLoad], seconds: float) -> None:
    """Waits until trainers and clients have exited.

    Raises:
        RehearsalError: one failed, or did not exit in time.
    """
    for load in loads:
        for process in [load.trainer, *load.clients]:
            if process.wait(seconds + END_TIMEOUT) != 0:
                raise RehearsalError(f"{process.name} exited with an error")


def summarise(loads: list[SiteLoad]) -> dict:
    """Returns the counts, computed only from the records of trainers, clients and engines."""
    trainers = [orjson.loads(load.trainer.lines()[-1]) for load in loads]
    clients = [orjson.loads(c.lines()[-1]) for load in loads for c in load.clients]
    attempts = Counter()
    for load in loads:
        for node in load.fleet.engines.values():
            attempts.update(_started_requests(node.process))
    return _summarise_trainers(trainers) | _summarise_clients(clients, attempts)


def _summarise_trainers(trainers: list[dict]) -> dict[str, int]:
    return {name: sum(record[name] for record in trainers) for name in TRAINER_COUNTS} | {
        "trainer_steps": sum(record["steps"] for record in trainers)
    }


def _summarise_clients(clients: list[dict], attempts: Counter[str]) -> dict[str, int]:
    """Returns the clients' counts, compared with how often engines started each request."""
    return {
        "client_requests": sum(record["requests"] for record in clients),
        "client_wrong_answers": sum(record["wrong_answers"] for record in clients),
        "false_not_run": sum(attempts[n] > 0 for r in clients for n in r["told_not_run"]),
        "run_once_repeated": sum(attempts[n] > 1 for r in clients for n in r["run_once"]),
    }


def _started_requests(process: Process) -> list[str]:
    """Returns the request of each attempt that an engine recorded; skips truncated lines."""
    requests = []
    for line in process.lines():
        try:
            requests.append(orjson.loads(line)["request"])
        except orjson.JSONDecodeError:
            continue
    return requests
