"""The policies to compare: larkpost, variants with single features disabled, and baselines."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Policy:
    """A named set of settings that override the defaults.

    Attributes:
        batches: settings of the section ``batches``.
        client_reserve: overrides the slots that the intent reserves for clients; None keeps them.
    """

    name: str
    batches: dict = field(default_factory=dict)
    client_reserve: int | None = None


_NO_TAIL = {
    "longest_first": False,
    "keep_groups": False,
    "duplicate_slow": False,
}

POLICIES = {
    policy.name: policy
    for policy in (
        Policy("larkpost"),
        Policy("round_robin", _NO_TAIL | {"placement": "round_robin"}, client_reserve=0),
        Policy("least_loaded", _NO_TAIL, client_reserve=0),
        Policy("no_tail", _NO_TAIL),
        Policy("no_longest_first", {"longest_first": False}),
        Policy("no_groups", {"keep_groups": False}),
        Policy("no_duplicates", {"duplicate_slow": False}),
    )
}
