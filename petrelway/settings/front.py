"""The sections of a front end's file, and what must hold between them."""

from __future__ import annotations

import fnmatch
import ipaddress
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from ..membership.messages import digest
from .reading import SettingsError, SettingsProblem, evaluate, sections

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Ms = Annotated[float, Meta(ge=0, le=86_400_000)]
Some = Annotated[float, Meta(gt=0, le=86_400_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Unknown keys are refused: a mistyped one must not pass for a default."""


class FrontEndPlace(Strict):
    name: Name
    zone: Name = field(name="hall")
    number: Count = 0
    peers: Annotated[int, Meta(ge=1, le=100_000)] = 1
    seed: int = 0


class Listen(Strict):
    port: Port
    address: Name = "127.0.0.1"


class Fleet(Strict):
    """Names that the registry uses for zones and machine kinds."""

    zones: list[Name] = field(name="halls")
    machines: list[Name] = []


class RequestClassTerms(Strict):
    name: Name
    idempotency: Literal["harmless", "stamped", "one-shot"] = field(name="effect")
    latency_objective_ms: Some = field(name="quoted_ms")
    deadline_ms: Some = field(name="outer_ms")
    scope: Literal["all", "hall", "cell"] = "all"
    window_ms: Ms = 0.0
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_share: Share = 0.0


class TenantShare(Strict):
    name: Name
    portion: Share
    rate: Annotated[float, Meta(ge=0)] = 0.0


class FunctionEntry(Strict):
    """A function, or a pattern such as `station-*` for many alike."""

    name: Name
    memory_mb: Annotated[float, Meta(gt=0, le=1e7)]
    lanes: Annotated[int, Meta(ge=1, le=1024)]
    load_ms: Ms = 0.0


class CapabilitySettings(Strict):
    attempts: Annotated[int, Meta(ge=1, le=16)] = field(name="transmissions", default=3)
    hedging: bool = field(name="second_copies", default=True)
    cancel_attempt: bool = field(name="withdraw", default=True)
    longest_retry_ms: Ms = 1000.0


class ReplicaRetention(Strict):
    answers_miss: bool = False
    load_requests: bool = field(name="orders", default=True)
    least_keep_ms: Some = 10_000.0
    load_request_timeout_ms: Some = field(name="order_timeout_ms", default=10_000.0)
    idle_price: Annotated[float, Meta(ge=0)] = 0.0


class ColdStart(Strict):
    multiple: Some
    span_ms: Some
    start_share: Annotated[float, Meta(gt=0, le=1)]
    warm_ms: Ms


class Ration(Strict):
    window_ms: Ms = 0.0
    free: Annotated[float, Meta(ge=0)] = 0.0
    share: Annotated[float, Meta(ge=0)] = 0.0


class ConsoleWanted(Strict):
    port: Port
    address: Name = "127.0.0.1"
    token_file: str = ""  # mode 600; whoever has its content may end the daemon. Empty: read-only


class SelfGuard(Strict):
    """Bounds from which the daemon gives something up by itself."""

    lag_ms: Some = 60.0
    open: Annotated[int, Meta(ge=1, le=1_000_000)] = 5_000
    buffered_mb: Annotated[float, Meta(gt=0, le=10_000)] = 64.0
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 3_000
    background_share: Annotated[float, Meta(gt=0, le=0.9)] = 0.1


class PeerLine(Strict):
    name: Name
    address: Name
    port: Annotated[int, Meta(ge=1, le=65535)]


class PeersWanted(Strict):
    """The other front ends, and where this one hears them: datagrams and connections at one number."""

    fleet: Name
    port: Annotated[int, Meta(ge=1, le=65535)]
    members: Annotated[list[PeerLine], Meta(max_length=5000)]
    address: Name = "127.0.0.1"


class PolicyWanted(Strict):
    """The members that keep the history of the terms, and this one's file where it is one of them."""

    keepers: Annotated[list[Name], Meta(min_length=3, max_length=7)]
    file: str = ""


class LogWanted(Strict):
    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["json", "console"] = "json"
    file: str = ""


SHAPES: dict[str, Any] = {
    "front_end": FrontEndPlace,
    "listen": Listen,
    "roster": Listen,
    "fleet": Fleet,
    "tariffs": Annotated[list[RequestClassTerms], Meta(min_length=1, max_length=100)],
    "customers": Annotated[list[TenantShare], Meta(max_length=10_000)],
    "functions": Annotated[list[FunctionEntry], Meta(min_length=1, max_length=100_000)],
    "permits": CapabilitySettings,
    "keeping": ReplicaRetention,
    "cold": ColdStart,
    "ration": Ration,
    "log": LogWanted,
    "console": ConsoleWanted,
    "guard": SelfGuard,
    "peers": PeersWanted,
    "policy": PolicyWanted,
}
OPTIONAL = frozenset(
    ("customers", "permits", "keeping", "ration", "log", "console", "guard", "peers", "policy")
)


def read_front_end(file: str) -> dict[str, Any]:
    """The sections of a front end's file, by name. Raises SettingsError."""
    return check_front_end(file, evaluate(file))


def check_front_end(file: str, tree: dict[str, Any]) -> dict[str, Any]:
    """A front end's tree as sections, checked. Raises SettingsError."""
    found = sections(file, tree, SHAPES, OPTIONAL)
    found.setdefault("customers", [])
    for name, shape in (
        ("permits", CapabilitySettings),
        ("keeping", ReplicaRetention),
        ("ration", Ration),
        ("log", LogWanted),
        ("guard", SelfGuard),
    ):
        found.setdefault(name, shape())
    if faults := between(found):
        raise SettingsError(file, faults)
    return found


def _is_ip(text: str) -> bool:
    try:
        return bool(ipaddress.IPv4Address(text))
    except ValueError:
        return False


def _between_peers(place: FrontEndPlace, peers: PeersWanted) -> list[SettingsProblem]:
    """Danger: two names with one digest, or one address, would be taken for each other."""
    faults = []
    others = [m for m in peers.members if m.name != place.name]
    if len(others) + 1 != place.peers:
        found = f"{len(others)} others beside {place.name!r}"
        faults.append(
            SettingsProblem("peers.members", found, f"front_end.peers - 1 = {place.peers - 1} others")
        )
    ids, at = {digest(place.name): place.name}, {}
    for i, m in enumerate(peers.members):
        if m.name == place.name:
            continue
        for known, key, found in (
            (ids, digest(m.name), repr(m.name)),
            (at, (m.address, m.port), f"{m.address}:{m.port}"),
        ):
            if key in known:
                faults.append(
                    SettingsProblem(f"peers.members[{i}]", found, f"another one than that of {known[key]!r}")
                )
            known.setdefault(key, m.name)
        if not _is_ip(m.address):
            faults.append(
                SettingsProblem(f"peers.members[{i}].address", repr(m.address), "an address in figures")
            )
    return faults


def _between_policy(
    place: FrontEndPlace, policy: PolicyWanted, peers: PeersWanted | None
) -> list[SettingsProblem]:
    if peers is None:
        return [
            SettingsProblem("policy", "no section peers", "one: members that know each other change terms")
        ]
    faults, names = [], [place.name, *(m.name for m in peers.members)]
    if len(policy.keepers) % 2 == 0 or len(set(policy.keepers)) != len(policy.keepers):
        found = f"{len(policy.keepers)} ({', '.join(policy.keepers)})"
        faults.append(SettingsProblem("policy.keepers", found, "3, 5 or 7 names, each once"))
    for i, name in enumerate(policy.keepers):
        if name not in names:
            faults.append(
                SettingsProblem(f"policy.keepers[{i}]", repr(name), "a member of the section peers")
            )
    if place.name in policy.keepers and not policy.file:
        faults.append(
            SettingsProblem("policy.file", "nothing", "a file of its own: this front end is a keeper")
        )
    return faults


def between(found: dict[str, Any]) -> list[SettingsProblem]:
    """What must hold between values that are each well formed."""
    faults = []
    place, fleet = found["front_end"], found["fleet"]
    if place.zone not in fleet.zones:
        faults.append(
            SettingsProblem(
                "front_end.hall", repr(place.zone), "one of fleet.halls: " + ", ".join(fleet.zones)
            )
        )
    if place.number >= place.peers:
        faults.append(
            SettingsProblem("front_end.number", str(place.number), f"0 to peers - 1 = {place.peers - 1}")
        )
    if "peers" in found:
        faults += _between_peers(place, found["peers"])
    if "policy" in found:
        faults += _between_policy(place, found["policy"], found.get("peers"))
    for section in ("tariffs", "customers", "functions"):
        seen: set[str] = set()
        for i, each in enumerate(found[section]):
            if each.name in seen:
                faults.append(
                    SettingsProblem(f"{section}[{i}].name", repr(each.name), "a name not used before")
                )
            seen.add(each.name)
    for i, t in enumerate(found["tariffs"]):
        if t.latency_objective_ms > t.deadline_ms:
            faults.append(
                SettingsProblem(
                    f"tariffs[{i}].quoted_ms",
                    f"{t.latency_objective_ms:g}",
                    f"outer_ms = {t.deadline_ms:g} at most",
                )
            )
        if t.idempotency == "stamped" and t.window_ms <= 0.0:
            faults.append(
                SettingsProblem(f"tariffs[{i}].window_ms", f"{t.window_ms:g}", "more than 0 where stamped")
            )
    portions = sum(c.portion for c in found["customers"])
    if portions > 1.0 + 1e-9:
        faults.append(
            SettingsProblem("customers", f"portions that sum to {portions:g}", "a sum of 1 at most")
        )
    earlier: list[str] = []
    for i, f in enumerate(found["functions"]):
        hidden = next(
            (
                p
                for p in earlier
                if p != f.name and fnmatch.fnmatchcase(f.name, p) and set(f.name) & set("*?[")
            ),
            None,
        )
        if hidden:  # an exact name always comes first; a pattern behind a wider one never would
            faults.append(
                SettingsProblem(
                    f"functions[{i}].name", repr(f.name), f"a pattern not covered by {hidden!r} before it"
                )
            )
        earlier.append(f.name)
    return faults
