"""Invariant checks on the platform, shared by the fuzz test's oracle and the process soak."""

from collections.abc import Collection, Iterable, Mapping

LEASE_SECONDS = 3.0
SECOND = 1.0
CALL_ATTEMPTS = 4
"""Attempts that the reward call route allows in tests."""
CRASHES_TO_KNOW = 3
"""Number of crashed servers after which a request must be known to crash servers."""
RETRIES_ALLOWED = 3
UNPACED_RUNS = 10
"""Runs of an item that crashes its servers until the pause between two is `PACED_SECONDS`."""
PACED_SECONDS = 4.0
CONTACT_SECONDS = 3.0
"""Time after a change, or after the end of a fault, by which a daemon has read the change."""
EVACUATE_SECONDS = 5.0
"""Time after the store's response from which nothing new is sent to an evacuated zone."""


def check_turns(orders: list[tuple[str, int, float]], instance: str) -> None:
    """Checks that fencing tokens increase and that no two holders give orders within one lease.

    Args:
        orders: holder, fencing token and time of each order, in order of arrival.
    """
    for before, after in zip(orders, orders[1:], strict=False):
        assert before[1] < after[1], f"{instance}: tokens do not rise: {orders}"
        same_holder = before[0] == after[0]
        assert same_holder or after[2] - before[2] >= LEASE_SECONDS, f"{instance}: {orders}"


def check_reports(reports: Iterable[tuple[int, Mapping[str, int]]]) -> None:
    """Checks that no usage window was reported with two different counts."""
    known: dict[int, Mapping[str, int]] = {}
    for window, counts in reports:
        before = known.setdefault(window, counts)
        assert before == counts, f"window {window} was reported as {before} and as {counts}"


def known_by(began_at: float, troubles: Iterable[tuple[float, float]]) -> float:
    """Returns the time by which a daemon must know of an evacuation.

    Args:
        troubles: spans in which it could not read the store, in order. One that began after the
            daemon had to know does not extend the time.
    """
    latest = began_at + EVACUATE_SECONDS
    for start, end in troubles:
        if start <= latest and end >= began_at:
            latest = max(latest, end + EVACUATE_SECONDS)
    return latest


def check_evacuated(instance: str, sent_at: float, known_at: float, ended_at: float) -> None:
    """Checks that a sender that must know of an evacuation sent no request to the zone."""
    assert not known_at < sent_at < ended_at, (
        f"{instance} is in a zone evacuated until {ended_at}, "
        f"as its sender knows since {known_at}, but got a request at {sent_at}"
    )


def check_crashes(content: str, crashed: list[float], arrivals: list[float]) -> None:
    """Checks that a request that crashed three servers is retried only a few times after that.

    Args:
        crashed: times at which it crashed a server, in order.
        arrivals: times at which servers began to run it, for daemons that could know.
    """
    if len(crashed) < CRASHES_TO_KNOW:
        return
    known_at = crashed[CRASHES_TO_KNOW - 1] + CONTACT_SECONDS
    late = [at for at in arrivals if at > known_at]
    assert len(late) <= RETRIES_ALLOWED, (
        f"{content} had crashed {CRASHES_TO_KNOW} servers by {known_at - CONTACT_SECONDS}, "
        f"but reached servers at {late}"
    )


def check_paced(item: str, arrivals: list[float]) -> None:
    """Checks that what crashes every server that runs it is retried ever more rarely.

    Args:
        arrivals: times at which servers began to run it, in order; all sent by one owner.
    """
    if not arrivals:
        return
    allowed = UNPACED_RUNS + (arrivals[-1] - arrivals[0]) / PACED_SECONDS
    assert len(arrivals) <= allowed, f"{item} crashes its servers, but ran at {arrivals}"


def check_once(batch: str, listed: list[str], items: set[str]) -> None:
    """Checks that each listed item belongs to the batch and is listed once."""
    assert len(set(listed)) == len(listed), f"{batch} doubled"
    assert set(listed) <= items, f"{batch} lists an item of another batch"


def check_text(
    item: str, text: str, whole: str, versions: Iterable[int], minimum_version: int
) -> None:
    """Checks that a result's text is complete and that its versions are new enough."""
    assert text == whole, f"{item}: the text is not the whole output"
    assert min(versions) >= minimum_version, f"{item}: below minimum_version"


def check_score(item: str, began: list[float], whole_at: float) -> None:
    """Checks that a score is the signature of a call that began after the text was complete.

    Args:
        began: start times of the item's reward calls that returned the score.
    """
    assert began, f"the score of {item} is nobody's signature"
    assert min(began) >= whole_at, f"{item} was scored before its text was whole"


def check_given_up(item: str, failures: int) -> None:
    """Checks that an item with a reward call is given up only after enough failed attempts."""
    assert failures >= CALL_ATTEMPTS, f"{item} given up early"


def check_cold(instance: str, arrivals: list[float], bound: float) -> None:
    """Checks that a cold instance receives no more requests per second than its limit.

    Args:
        arrivals: arrival times of the requests while it was cold, in order.
    """
    most = int(bound)
    for first, last in zip(arrivals, arrivals[most:], strict=False):
        assert last - first > SECOND, f"{instance}: over {most} requests a second while cold"


def check_home(what: str, region: str | None, homes: Collection[str] | None) -> None:
    """Checks that a request's body is held only in a region where the request may be served.

    Args:
        homes: the only regions in which it may be served; None for all.
    """
    assert homes is None or region in homes, f"{what} in {region} is outside its homes {homes}"
