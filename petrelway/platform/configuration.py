"""The configuration that the platform hands a front end, without I/O. Source: the deployment page."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ..common.deployment_settings import DeploymentSettings, DeploymentSettingsError, read_deployment_settings
from .errors import ProtocolError

SOCKETS_LEAST = 64  # fewer descriptors leave no room for clients and executors


class Told(NamedTuple):
    """`known` are the events of the start, as told; the seed is new at each start."""

    name: str
    address: str
    port: int
    seed: int
    sockets: int
    memory_mb: float
    bus: tuple[str, int]
    known: Any
    terms: DeploymentSettings


def read_told(data: bytes) -> Told:
    """Raises ProtocolError that says where, what was found and what is allowed."""
    try:
        told = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"not JSON: {error}"[:200]) from error
    if type(told) is not dict:
        raise ProtocolError(f"found {type(told).__name__}; allowed: one object")
    address, port = _endpoint(told, "listen")
    limits = told.get("limits") or {}
    try:
        seed = int(str(told.get("seed", "0")), 16)
    except ValueError as error:
        raise ProtocolError(f"seed: found {told.get('seed')!r}; allowed: hex digits") from error
    sockets, memory_mb = _limit(limits, "sockets", 1024.0), _limit(limits, "memory_mb", 192.0)
    if sockets < SOCKETS_LEAST:
        raise ProtocolError(f"limits.sockets: found {sockets:g}; allowed: {SOCKETS_LEAST} or more")
    try:
        terms = read_deployment_settings(told.get("settings"))
    except DeploymentSettingsError as fault:
        raise ProtocolError(str(fault)) from fault
    return Told(
        str(told.get("name", "")),
        address,
        port,
        seed,
        int(sockets),
        memory_mb,
        _endpoint(told, "bus"),
        told.get("known"),
        terms,
    )


def read_peers(data: bytes) -> tuple[tuple[str, int], list[tuple[str, int]], int] | None:
    """Where peers are heard, their addresses by number, and the own number; None where that is not permitted.

    Raises ProtocolError. Of bytes that `read_told` has read.
    """
    told = msgspec.json.decode(data)
    if not read_deployment_settings(told.get("settings")).capabilities.tell:
        return None
    peers = told.get("peers")
    if type(peers) is not list or not peers:
        raise ProtocolError(f"peers: found {peers!r}; allowed: a list of addresses")
    found = [_endpoint({"peers": peer}, "peers") for peer in peers]
    number = read_deployment_settings(told.get("settings")).place.number
    if number >= len(found) or len(set(found)) < len(found):
        raise ProtocolError(f"peers: found {len(found)} addresses; allowed: one of its own for each number")
    return _endpoint(told, "peer_listen"), found, number


def _limit(limits: Any, name: str, default: float) -> float:
    value = limits.get(name, default) if type(limits) is dict else None
    if type(value) not in (int, float) or not value > 0:
        raise ProtocolError(f"limits.{name}: found {value!r}; allowed: a number above 0")
    return float(value)


def _endpoint(told: dict[str, Any], name: str) -> tuple[str, int]:
    text = told.get(name)
    address, _, port = text.rpartition(":") if type(text) is str else ("", "", "")
    if not address or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ProtocolError(f"{name}: found {text!r}; allowed: address:port")
    return address, int(port)
