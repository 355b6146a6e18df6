"""The size of a fleet, read from a Jsonnet file: what there is of each, what it does, what it may cost."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta

from ..settings.front import Strict
from ..settings.reading import SettingsError, SettingsProblem, evaluate, sections

Count = Annotated[int, Meta(ge=1, le=1_000_000_000)]
Times = Annotated[float, Meta(ge=0, le=1e9)]
Amount = Annotated[float, Meta(gt=0, le=1e9)]
Ratio = Annotated[float, Meta(gt=0, le=1)]


class FleetSize(Strict):
    """Processes and where they stand."""

    front_ends: Count
    regions: Count
    zones: Count  # of all regions
    rack_machines: Count  # machines behind one switch
    policy_voters: Annotated[int, Meta(ge=1, le=9)]  # front ends that keep the history of the configuration


class InstanceSize(Strict):
    """Instances of functions, and how many of them one machine hosts."""

    count: Count
    instances_a_machine: Count


class FunctionSize(Strict):
    """Functions, and the power law of their calls: in proportion to (rank + cut) ** -exponent."""

    count: Count
    exponent: Annotated[float, Meta(gt=0, le=5)]
    cut: Times
    keep_s: Amount  # an instance stays loaded at least so long after a call


class CallSize(Strict):
    a_second: Amount


class OrdinaryDay(Strict):
    """What happens on any day. A machine is restarted or replaced, or fails, with all that it hosts."""

    configuration_changes: Times
    machines_failed: Times
    machines_restarted: Times


class Budget(Strict):
    """What control may cost one front end, and what the fleet promises."""

    control_core_share: Ratio
    control_memory_mb: Amount  # 10**6 bytes
    control_kb_a_second: Amount  # 10**3 bytes
    control_machines: Count  # of the whole fleet, set aside for control
    cold_start_p99_s: Amount
    configuration_in_force_s: Amount


class Size(Strict):
    """One size of the fleet."""

    fleet: FleetSize
    instances: InstanceSize
    functions: FunctionSize
    calls: CallSize
    day: OrdinaryDay
    budget: Budget


SHAPES: dict[str, Any] = {
    "fleet": FleetSize,
    "instances": InstanceSize,
    "functions": FunctionSize,
    "calls": CallSize,
    "day": OrdinaryDay,
    "budget": Budget,
}


def read_size(file: str) -> Size:
    """The size that a file describes. Raises SettingsError, one line a fault with file and path."""
    return check_size(file, evaluate(file))


def check_size(file: str, tree: dict[str, Any]) -> Size:
    """An evaluated file as a size. Raises SettingsError."""
    size = Size(**sections(file, tree, SHAPES))
    if faults := _between(size):
        raise SettingsError(file, faults)
    return size


def _between(size: Size) -> list[SettingsProblem]:
    """What must hold between values that are each well formed."""
    fleet = size.fleet
    faults = []
    if fleet.zones < fleet.regions:
        allowed = f"at least fleet.regions = {fleet.regions}"
        faults.append(SettingsProblem("fleet.zones", str(fleet.zones), allowed))
    if fleet.front_ends < fleet.zones:
        allowed = f"at least fleet.zones = {fleet.zones}"
        faults.append(SettingsProblem("fleet.front_ends", str(fleet.front_ends), allowed))
    if fleet.policy_voters > fleet.front_ends:
        allowed = f"fleet.front_ends = {fleet.front_ends} at most"
        faults.append(SettingsProblem("fleet.policy_voters", str(fleet.policy_voters), allowed))
    if size.instances.instances_a_machine > size.instances.count:
        found = str(size.instances.instances_a_machine)
        allowed = f"instances.count = {size.instances.count} at most"
        faults.append(SettingsProblem("instances.instances_a_machine", found, allowed))
    return faults
