"""The sections of a rehearsal day: fleet, traffic, rules' figures and faults."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, field

from ..fakes.fault_schedule import KINDS as NETWORK_FAULTS
from .front import (
    CapabilitySettings,
    ColdStart,
    Count,
    Ms,
    Name,
    Ration,
    ReplicaRetention,
    RequestClassTerms,
    Share,
    Some,
    Strict,
    TenantShare,
)
from .reading import SettingsError, SettingsProblem, evaluate, sections

Range = Annotated[list[float], Meta(min_length=2, max_length=2)]

KINDS = (
    "slow",
    "hang",
    "fast_errors",
    "pauses",
    "burst",
    "heavy_tail",
    "zone_loss",
    "deploy",
    "balancer_crash",
    "balancer_stall",
    "origin_slow",
    "flush",
    "scan",
    "shift",
    "throttle",
    "ageing",
    "never_read",
    "half_open",
    "reset_mid_frame",
    "one_byte",
    "garbage",
    "roster_gap",
    "roster_down",
    "cut",
    "far",
    "loss",
)
FLEET_KINDS = (*NETWORK_FAULTS, "kill", "stop", "leave", "late")
ON_CONNECTIONS = ("cut", "one way", "flap", "delay")  # a connection loses nothing for good
EMULATED_ONLY = ("cut", "far", "loss")  # what the network does can't be played on one machine's loopback


class Times(Strict):
    length_s: Annotated[float, Meta(gt=0, le=3600)]
    seed: int = 1
    grace_ms: Some = (
        150.0  # a final answer may come so long after the client's time: the machine's own delays
    )
    slack_ms: Some = 100.0  # what two processes may disagree on when something passed


class MachineKind(Strict):
    name: Name
    share: Share
    cores: Annotated[int, Meta(ge=1, le=256)]
    speed: Range = field(default_factory=lambda: [1.0, 1.0])
    memory_mb: Some = 12_000.0
    slots_per_core: Annotated[int, Meta(ge=1, le=1000)] = 4
    queue: Count = 32


class ExecutorFleet(Strict):
    zones: Annotated[list[Name], Meta(min_length=1, max_length=20)] = field(name="halls")
    executors: Annotated[int, Meta(ge=1, le=10_000)]
    kinds: Annotated[list[MachineKind], Meta(min_length=1, max_length=20)]
    fronts: Annotated[int, Meta(ge=1, le=5_000)] = 3
    members: bool = False  # front ends know each other; so they do on a day with fleet_faults
    keepers: Annotated[int, Meta(ge=0, le=7)] = 0  # so many keep the terms, which can be changed then; odd
    workers: bool = False  # real worker processes in place of the stand-in executors
    cell_size: Annotated[int, Meta(ge=1, le=500)] = 4
    loads_at_once: Annotated[int, Meta(ge=1, le=64)] = 4
    eager: bool = True  # starts another copy by itself when all lanes are taken
    keep_ms: Some = 10_000.0
    error_rate: Share = 0.0
    load_fail: Share = 0.0
    fail_says: Literal["miss", "error"] = "miss"
    images: bool = False  # a fetched function's image stays on the executor's disk
    cold_share: Share = 0.25
    warm_ms: Ms = 10_000.0


class FunctionDraw(Strict):
    count: Annotated[int, Meta(ge=1, le=100_000)]
    zipf: Annotated[float, Meta(ge=0, le=4)] = 1.1
    memory_mb: Range = field(default_factory=lambda: [200.0, 600.0])
    load_ms: Range = field(default_factory=lambda: [400.0, 1000.0])
    fetch_share: Share = 0.7
    lanes: Annotated[list[int], Meta(min_length=1)] = field(default_factory=lambda: [4])


class Work(Strict):
    """What requests cost: by request class, on a core of speed 1."""

    mean_ms: Some = 150.0
    cv: Annotated[float, Meta(ge=0, le=5)] = 0.7
    io_ms: Ms = 0.0


class Traffic(Strict):
    rate: Annotated[float, Meta(gt=0, le=100_000)]
    shares: dict[str, Share] = {}  # by request class; left out: equal
    work: dict[str, Work] = {}
    hint_cv: Annotated[float, Meta(ge=0, le=5)] = 0.4
    retries: Count = 1
    backoff_ms: Ms = 50.0
    try_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    honour: Share = 1.0  # clients that stay away as a reject says
    impatient: Share = 0.0
    clients: Annotated[int, Meta(ge=1, le=16)] = 1  # processes


class StoreTerms(Strict):
    takes: Annotated[int, Meta(ge=1, le=100_000)] = 8
    limit: Annotated[int, Meta(ge=1, le=100_000)] = 64
    thrash: Share = 0.1
    fall_multiple: Annotated[float, Meta(ge=0)] = 0.0
    fall_ms: Ms = 3000.0
    down_ms: Ms = 3000.0


class RegistryTerms(Strict):
    notice_ms: Range = field(default_factory=lambda: [300.0, 1500.0])
    add_ms: Range = field(default_factory=lambda: [200.0, 1000.0])


class NetworkTerms(Strict):
    """One way, in ms, for one message; only an emulation has it."""

    within_ms: Ms = 0.2  # within a zone, clients included
    between_ms: Ms = 0.5  # from zone to zone
    jitter: Share = 0.2  # of it, drawn anew for each message
    loss: Share = 0.0  # messages that must be sent again
    again_ms: Ms = 200.0  # and how long that takes


class Fault(Strict):
    kind: Literal[KINDS]
    at_s: Annotated[float, Meta(ge=0)]
    len_s: Annotated[float, Meta(ge=0)] = 10.0
    part: Share = 0.2
    size: Annotated[float, Meta(ge=0)] = 1.0
    extra: Annotated[float, Meta(ge=0)] = 0.0
    how: str = ""
    which: Count = 0  # zone, tenant or request class by number
    on: list[Count] = []  # executors or front ends by number; left out: drawn


class FleetFault(Strict):
    """Between front ends, or of their processes, by number. `others` left out: all that are not in `on`; `to`
    says whether these are members or executors, or the way is to the list service."""

    kind: Literal[FLEET_KINDS]
    at_s: Annotated[float, Meta(ge=0)]
    len_s: Annotated[float, Meta(ge=0)] = 5.0  # 0: for good
    on: list[Count] = []  # left out: all, or drawn by `part` for processes
    others: list[Count] = []
    to: Literal["members", "roster", "executors"] = "members"
    part: Share = 0.2
    size: Annotated[float, Meta(ge=0)] = 1.0
    extra: Annotated[float, Meta(ge=0)] = 0.0


class RulesFigures(Strict):
    drain_grace_ms: Some = 2000.0


SHAPES: dict[str, Any] = {
    "day": Times,
    "fleet": ExecutorFleet,
    "functions": FunctionDraw,
    "traffic": Traffic,
    "store": StoreTerms,
    "roster": RegistryTerms,
    "network": NetworkTerms,
    "rules": RulesFigures,
    "tariffs": Annotated[list[RequestClassTerms], Meta(min_length=1, max_length=20)],
    "customers": Annotated[list[TenantShare], Meta(min_length=1, max_length=100)],
    "permits": CapabilitySettings,
    "keeping": ReplicaRetention,
    "cold": ColdStart,
    "ration": Ration,
    "troubles": Annotated[list[Fault], Meta(max_length=100)],
    "fleet_troubles": Annotated[list[FleetFault], Meta(max_length=100)],
}
OPTIONAL = frozenset(
    ("store", "roster", "network", "rules", "permits", "keeping", "ration", "troubles", "fleet_troubles")
)


def read_day(file: str) -> dict[str, Any]:
    """The sections of a day, by name. Raises SettingsError."""
    return check_day(file, evaluate(file))


def check_playable(file: str, tree: dict[str, Any]) -> dict[str, Any]:
    """As `check_day`, for a day to be played on sockets of one machine; an emulation plays any.

    Raises SettingsError.
    """
    found = check_day(file, tree)
    faults = []
    fleet = found["fleet"]
    for name, most in (("executors", 500), ("fronts", 64)):
        if (asked := getattr(fleet, name)) > most:
            faults.append(
                SettingsProblem(f"fleet.{name}", str(asked), f"{most} at most on sockets; emulate it")
            )
    for i, fault in enumerate(found["troubles"]):
        if fault.kind in EMULATED_ONLY:
            faults.append(SettingsProblem(f"troubles[{i}].kind", repr(fault.kind), "only in an emulation"))
    if faults:
        raise SettingsError(file, faults)
    return found


def check_day(file: str, tree: dict[str, Any]) -> dict[str, Any]:
    """A day's tree as sections, checked. Raises SettingsError."""
    found = sections(file, tree, SHAPES, OPTIONAL)
    for name, shape in (
        ("store", StoreTerms),
        ("roster", RegistryTerms),
        ("network", NetworkTerms),
        ("rules", RulesFigures),
        ("permits", CapabilitySettings),
        ("keeping", ReplicaRetention),
        ("ration", Ration),
    ):
        found.setdefault(name, shape())
    found.setdefault("troubles", [])
    found.setdefault("fleet_troubles", [])
    faults = []
    request_classes = {t.name for t in found["tariffs"]}
    for section in ("shares", "work"):
        for name in getattr(found["traffic"], section):
            if name not in request_classes:
                faults.append(
                    SettingsProblem(
                        f"traffic.{section}.{name}",
                        "that tariff",
                        "one of " + ", ".join(sorted(request_classes)),
                    )
                )
    fleet = found["fleet"]
    for i, fault in enumerate(found["troubles"]):
        if fault.at_s > found["day"].length_s:
            faults.append(
                SettingsProblem(
                    f"troubles[{i}].at_s", f"{fault.at_s:g}", f"{found['day'].length_s:g} at most"
                )
            )
        most = fleet.fronts if fault.kind.startswith("balancer") else fleet.executors
        for number in fault.on:
            if number >= most:
                faults.append(SettingsProblem(f"troubles[{i}].on", str(number), f"0 to {most - 1}"))
    for i, fault in enumerate(found["fleet_troubles"]):
        most = {"members": fleet.fronts, "executors": fleet.executors, "roster": 0}[fault.to]
        for name, bound in (("on", fleet.fronts), ("others", most)):
            if any(number >= bound for number in getattr(fault, name)):
                faults.append(
                    SettingsProblem(f"fleet_troubles[{i}].{name}", "a larger number", f"less than {bound}")
                )
        if fault.to != "members" and fault.kind not in ON_CONNECTIONS:
            allowed = "on the ways to roster and executors " + ", ".join(ON_CONNECTIONS)
            faults.append(SettingsProblem(f"fleet_troubles[{i}].kind", repr(fault.kind), allowed))
        if fault.at_s > found["day"].length_s:
            faults.append(
                SettingsProblem(
                    f"fleet_troubles[{i}].at_s", f"{fault.at_s:g}", f"{found['day'].length_s:g} at most"
                )
            )
    if fleet.cold_share < found["cold"].start_share:
        faults.append(
            SettingsProblem(
                "fleet.cold_share",
                f"{fleet.cold_share:g}",
                f"at least the told cold.start_share = {found['cold'].start_share:g}",
            )
        )
    if fleet.warm_ms > found["cold"].warm_ms:
        faults.append(
            SettingsProblem(
                "fleet.warm_ms",
                f"{fleet.warm_ms:g}",
                f"at most the told cold.warm_ms = {found['cold'].warm_ms:g}",
            )
        )
    if faults:
        raise SettingsError(file, faults)
    return found
