"""The registry's protocol: bytes to calls, lines to bytes."""

from __future__ import annotations

import math
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from ..common.endpoint_entry import EndpointEntry
from . import roster_pb2 as pb
from .framing import WireError, frame

VERSION = 1
LINES_BOUND = 10_000  # executors in one list
STAGES = ("ready", "draining", "gone")


def follow(front_end: str, process: str) -> bytes:
    return frame(pb.FromFollower(version=VERSION, front_end=front_end, process=process).SerializeToString())


def listed(serial: int, complete: bool, lines: Iterable[EndpointEntry]) -> bytes:
    message = pb.FromRoster(version=VERSION, serial=serial, complete=complete)
    for line in lines:
        message.lines.add(
            executor=line.executor,
            address=line.address,
            port=line.port,
            hall=line.zone,
            machine=line.machine,
            cell=line.cell,
            stage=STAGES.index(line.stage),
            weight=line.weight,
            started_ms=line.started_ms,
        )
    return frame(message.SerializeToString())


def from_follower(payload: bytes) -> tuple[str, str]:
    """Name and process of a front end that follows. Raises WireError."""
    message = _parse(pb.FromFollower(), payload)
    return message.front_end, message.process


def from_registry(payload: bytes) -> tuple[int, bool, list[EndpointEntry]]:
    """Serial, whether the list is complete, and its lines. Raises WireError."""
    message = _parse(pb.FromRoster(), payload)
    if len(message.lines) > LINES_BOUND:
        raise WireError(f"a list of {len(message.lines)} lines is over the bound of {LINES_BOUND}")
    lines = []
    for m in message.lines:
        if m.stage >= len(STAGES):
            raise WireError(f"executor {m.executor!r} has stage {m.stage}; allowed 0 to {len(STAGES) - 1}")
        if not 0 < m.port < 65536 or not m.executor:
            raise WireError(f"executor {m.executor!r} at port {m.port}")
        if not (math.isfinite(m.weight) and math.isfinite(m.started_ms)):
            raise WireError(f"executor {m.executor!r} has weight {m.weight}, start {m.started_ms}")
        lines.append(
            EndpointEntry(
                m.executor,
                m.address,
                m.port,
                m.hall,
                m.machine,
                m.cell,
                STAGES[m.stage],
                m.weight,
                m.started_ms,
            )
        )
    return message.serial, message.complete, lines


def _parse(message, payload: bytes):
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise WireError(f"{len(payload)} bytes that are no message: {error}") from error
    if message.version != VERSION:
        raise WireError(f"version {message.version} of the roster protocol; this side speaks {VERSION}")
    return message
