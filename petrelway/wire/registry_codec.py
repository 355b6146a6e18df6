"""The endpoint registry's protocol, without I/O: encodes and decodes subscriptions and endpoint entries."""

from __future__ import annotations

import math
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from ..common.endpoint_entry import EndpointEntry
from . import roster_pb2 as pb
from .framing import WireError, frame

VERSION = 1
ENTRIES_BOUND = 10_000  # executors in one list
STAGES = ("ready", "draining", "gone")


def follow(front_end: str, process: str) -> bytes:
    """Encode a front end's subscription to the registry."""
    return frame(pb.FromFollower(version=VERSION, front_end=front_end, process=process).SerializeToString())


def listed(serial: int, complete: bool, entries: Iterable[EndpointEntry]) -> bytes:
    """Encode endpoint entries: the complete list, or those that changed."""
    message = pb.FromRoster(version=VERSION, serial=serial, complete=complete)
    for entry in entries:
        message.lines.add(
            executor=entry.executor,
            address=entry.address,
            port=entry.port,
            hall=entry.zone,
            machine=entry.machine,
            cell=entry.cell,
            stage=STAGES.index(entry.stage),
            weight=entry.weight,
            started_ms=entry.started_ms,
        )
    return frame(message.SerializeToString())


def from_follower(payload: bytes) -> tuple[str, str]:
    """Return the name and process of a front end that subscribes. Raises WireError."""
    message = _parse(pb.FromFollower(), payload)
    return message.front_end, message.process


def from_registry(payload: bytes) -> tuple[int, bool, list[EndpointEntry]]:
    """Return the serial, whether the list is complete, and its entries. Raises WireError."""
    message = _parse(pb.FromRoster(), payload)
    if len(message.lines) > ENTRIES_BOUND:
        raise WireError(f"a list of {len(message.lines)} lines is over the bound of {ENTRIES_BOUND}")
    entries = []
    for line in message.lines:
        if line.stage >= len(STAGES):
            raise WireError(
                f"executor {line.executor!r} has stage {line.stage}; allowed 0 to {len(STAGES) - 1}"
            )
        if not 0 < line.port < 65536 or not line.executor:
            raise WireError(
                f"executor {line.executor!r} at port {line.port}; allowed: a name, and a port from 1 to 65535"
            )
        if not (math.isfinite(line.weight) and math.isfinite(line.started_ms)):
            raise WireError(
                f"executor {line.executor!r} has weight {line.weight}, start {line.started_ms};"
                " allowed: finite numbers"
            )
        entries.append(
            EndpointEntry(
                line.executor,
                line.address,
                line.port,
                line.hall,
                line.machine,
                line.cell,
                STAGES[line.stage],
                line.weight,
                line.started_ms,
            )
        )
    return message.serial, message.complete, entries


def _parse(message, payload: bytes):
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise WireError(f"{len(payload)} bytes that are no message: {error}") from error
    if message.version != VERSION:
        raise WireError(f"version {message.version} of the roster protocol; allowed: {VERSION}")
    return message
