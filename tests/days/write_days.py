"""Writes a scenario ("day") of the users' test bench for each kind and variant of fault.

``python tests/days/write_days.py FOLDER ENGINE_SERVICE PAGE_SERVICE`` writes one TOML file per day;
the bench runs one with ``run SITE FILE``. docs/FAULTS.md has the results.
"""

import sys
from dataclasses import dataclass, field
from pathlib import Path

Entry = dict[str, str | int | float]


@dataclass(frozen=True, slots=True)
class Day:
    """A scenario: planned operations, faults, and an optional fault at its end."""

    name: str
    plan: tuple[Entry, ...] = ()
    faults: tuple[Entry, ...] = ()
    closing: Entry = field(default_factory=dict)


def entry(kind: str, at: float, **fields: str | int | float) -> Entry:
    """Returns one operation or fault of a day."""
    return {"kind": kind, "at": at, **fields}


def label(how: str) -> str:
    """Returns a variant's name for use in a file name."""
    return how.replace(" ", "-") or "plain"


def server_days(engines: str, pages: str) -> list[Day]:
    """Returns the days with failures of servers."""
    days = [
        Day(
            f"srv-crash-{label(how)}",
            faults=(
                entry("srv_crash", 6, share=0.3, for_s=5, how=how, service=engines),
                entry("srv_crash", 14, share=0.4, for_s=5, how=how, service=pages),
                entry("srv_crash", 22, share=0.3, for_s=5, how=how),
            ),
        )
        for how in ("", "dark", "gone")
    ]
    days.append(
        Day(
            "srv-slow",
            faults=(
                entry("srv_slow", 5, share=0.4, x=4, for_s=8, service=engines),
                entry("srv_slow", 16, share=0.6, x=6, for_s=8),
            ),
        )
    )
    for how in ("", "spot"):
        plan = tuple(
            entry("scale_in", at, share=0.4, how=how, x=2, service=engines) for at in (6, 16)
        )
        days.append(Day(f"scale-in-{label(how)}", plan=plan))
    days.append(
        Day(
            "release",
            plan=(
                entry("release", 4, share=1.0, x=1, gap_s=1.0),
                entry("release", 20, share=1.0, x=2, gap_s=0.7),
            ),
        )
    )
    variants = {
        "answer_lost": ("", "reset"),
        "garble": ("", "extra", "extra late", "unframed", "early"),
    }
    for kind, hows in variants.items():
        for how in hows:
            faults = (
                entry(kind, 3, share=0.6, x=0.1, for_s=10, how=how),
                entry(kind, 18, share=1.0, x=0.2, for_s=8, how=how),
            )
            days.append(Day(f"{kind.replace('_', '-')}-{label(how)}", faults=faults))
    for how in ("orders", "cloud", "all"):
        faults = (
            entry("applied_late", 3, x=0.5, for_s=12, how=how),
            entry("applied_late", 18, x=0.8, for_s=10, how=how),
        )
        days.append(Day(f"applied-late-{how}", faults=faults))
    return days


def machine_days() -> list[Day]:
    """Returns the days with failures of larkpost's machines."""
    days = []
    variants: dict[str, tuple[str, ...]] = {
        "node_kill": ("", "power", "leader", "taken", "giver", "leader race drain", "meet drain"),
        "node_freeze": ("", "leader", "giver"),
        "node_cut": ("", "all", "servers"),
        "core_cut": ("", "all", "near", "one_way", "leader race", "leader race all", "oldest"),
    }
    for kind, hows in variants.items():
        for how in hows:
            faults = tuple(
                entry(kind, at, on="core", count=2, for_s=4, how=how) for at in (5, 13, 22)
            )
            days.append(Day(f"{kind.replace('_', '-')}-{label(how)}", faults=faults))
    for how in ("", "power", "taken power"):
        faults = (
            entry("herd_kill", 6, share=0.6, for_s=2, how=how),
            entry("herd_kill", 20, share=1.0, for_s=2, how=how),
        )
        days.append(Day(f"herd-kill-{label(how)}", faults=faults))
    for how in ("", "busy", "remove"):
        share = 0.3 if how == "remove" else 1.0
        plan = (entry("roll_term", 4, share=share, x=1, gap_s=1.2, how=how),)
        days.append(Day(f"roll-term-{label(how)}", plan=plan))
    for how in ("", "kill", "timed", "taken", "taken gone"):
        faults = tuple(entry("after_ack_kill", at, how=how, for_s=3, count=2) for at in (8, 16, 24))
        days.append(Day(f"after-ack-kill-{label(how)}", faults=faults))
    days.append(Day("node-slow", faults=(entry("node_slow", 4, share=0.4, x=6, for_s=12),)))
    days.append(Day("clock-step", faults=(entry("clock_step", 4, share=0.6, x=5000, for_s=6),)))
    resets = tuple(entry("reset_conns", at, share=0.5, x=0.6) for at in (4, 9, 14, 19, 24))
    days.append(Day("reset-conns", faults=resets))
    days.append(Day("add-nodes", plan=(entry("add_nodes", 4),)))
    days.append(Day("hup", faults=tuple(entry("hup", at, share=0.6, gap_s=0.2) for at in (4, 20))))
    return days


def store_days() -> list[Day]:
    """Returns the days with failures of the platform's store."""
    days = []
    for how in ("silent", "busy", "reset", "busy lapse"):
        for share in (0.0, 0.5):
            faults = (
                entry("platform_down", 5, for_s=5, how=how, share=share),
                entry("platform_down", 20, for_s=8, how=how, share=share),
            )
            name = "part" if share else "whole"
            days.append(Day(f"platform-down-{label(how)}-{name}", faults=faults))
    for how in ("", "late"):
        faults = (entry("platform_lost", 4, x=0.4, for_s=8, how=how),)
        days.append(Day(f"platform-lost-{label(how)}", faults=faults))
    for how in ("", "drain"):
        faults = tuple(entry("platform_compact", at, x=5, for_s=8, how=how) for at in (4, 18))
        days.append(Day(f"platform-compact-{label(how)}", faults=faults))
    days.append(Day("platform-slow", faults=(entry("platform_slow", 4, x=60, for_s=8),)))
    return days


def configuration_days() -> list[Day]:
    """Returns the days with configuration changes."""
    days = [
        Day(
            f"config-change-{how}",
            plan=tuple(entry("config_change", at, how=how) for at in (4, 10, 16, 22, 28)),
        )
        for how in ("route", "weights", "timeout", "topup", "idle")
    ]
    days.append(Day("config-storm", plan=(entry("config_storm", 5, for_s=5, gap_s=0.1),)))
    days.append(Day("big-config", plan=(entry("big_config", 5, count=400),)))
    return days


def further_days() -> list[Day]:
    """Returns the days of other kinds of faults, and of pairs of faults at the same time."""
    days = []
    for how in ("errors", "shed", "busy", "hang", "reset", "mute", "slow", "hang one_zone"):
        faults = (entry("srv_grey", 5, share=0.4, x=0.5, for_s=10, how=how),)
        days.append(Day(f"srv-grey-{label(how)}", faults=faults))
    for how in ("", "fronts", "some", "some lossy", "one_way", "reset"):
        faults = (entry("srv_cut", 5, share=0.3, x=0.4, for_s=8, how=how),)
        days.append(Day(f"srv-cut-{label(how)}", faults=faults))
    for how in ("", "drain", "dark"):
        faults = tuple(entry("replace_with_reuse", at, share=0.3, how=how) for at in (6, 18))
        days.append(Day(f"replace-with-reuse-{label(how)}", faults=faults))
    days.append(Day("burst", faults=(entry("burst", 6, x=5, for_s=6),)))
    days.append(Day("give-up", faults=(entry("give_up", 4, share=0.4, for_s=10),)))
    days.append(Day("scale-out", plan=(entry("scale_out", 5, share=0.5, gap_s=1.0),)))
    days.append(
        Day(
            "pair-down-kill",
            faults=(
                entry("platform_down", 6, for_s=5, how="silent", share=0.0),
                entry("node_kill", 8, share=0.3, for_s=3),
                entry("platform_lost", 18, x=0.5, for_s=6),
                entry("node_kill", 20, share=0.3, for_s=3, how="leader", on="core"),
            ),
        )
    )
    freezes = tuple(
        entry("node_freeze", at, count=1, for_s=4, how="giver", on="core")
        for at in (4.2, 12.2, 20.2, 28.2)
    )
    days.append(Day("pair-freeze-giver-versions", faults=freezes))
    days.append(
        Day(
            "pair-all-lost-after-202",
            faults=(entry("herd_kill", 8, share=1.0, for_s=2, how="taken power"),),
            closing={"kind": "power_off_all", "down_s": 1.0, "how": "all taken"},
        )
    )
    days.append(
        Day(
            "pair-reuse-compact",
            faults=(
                entry("platform_compact", 5, x=5, for_s=8, how="drain"),
                entry("replace_with_reuse", 7, share=0.3, how="dark"),
            ),
        )
    )
    days.append(
        Day(
            "pair-configs-cut",
            plan=(
                entry("config_change", 7, how="route"),
                entry("config_change", 8, how="route"),
            ),
            faults=(entry("core_cut", 5, count=2, for_s=6),),
        )
    )
    return days


def write(day: Day, folder: Path) -> None:
    """Writes the TOML file of a day."""
    lines = [
        "[[day]]",
        f'name = "{day.name}"',
        'slot = "trouble"',
        f"seed = {sum(ord(sign) * (place + 7) for place, sign in enumerate(day.name))}",
        "groups_x = 0.9",
        "one = 1.0",
        "zero = 0.0",
    ]
    if day.closing:
        lines.append(f"closing = {table(day.closing)}")
    for name, entries in (("plan", day.plan), ("faults", day.faults)):
        lines.append(f"{name} = [")
        lines.extend(f"  {table(fields)}," for fields in entries)
        lines.append("]")
    (folder / f"{day.name}.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")


def table(fields: Entry) -> str:
    """Returns an entry as a TOML inline table."""
    parts = [
        f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}"
        for name, value in fields.items()
    ]
    return "{ " + ", ".join(parts) + " }"


def main(folder: Path, engines: str, pages: str) -> None:
    """Writes the files of all days."""
    folder.mkdir(parents=True, exist_ok=True)
    days = [
        *server_days(engines, pages),
        *machine_days(),
        *store_days(),
        *configuration_days(),
        *further_days(),
    ]
    for day in days:
        write(day, folder)
    print(f"{len(days)} days written to {folder}")


if __name__ == "__main__":
    main(Path(sys.argv[1]), sys.argv[2], sys.argv[3])
