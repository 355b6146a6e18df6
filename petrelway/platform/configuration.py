"""The configuration file that the platform passes to a front end: its decoder, without I/O.

Used by `commands/node.py` at the start and by `node/service.py` on SIGHUP. Source: the platform's deployment
page.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ..common.deployment_settings import DeploymentSettings, DeploymentSettingsError, read_deployment_settings
from .errors import ProtocolError

MIN_SOCKETS = 64  # fewer descriptors leave no capacity for clients and executors
DEFAULT_SOCKETS = 1024.0
DEFAULT_MEMORY_MB = 192.0
MAX_PORT = 65535
MAX_ERROR_CHARACTERS = 200  # a decoder's error text is cut to this length


class Endpoint(NamedTuple):
    """An address and a TCP or UDP port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return `address:port`."""
        return f"{self.address}:{self.port}"


class Configuration(NamedTuple):
    """The configuration of one front end; its seed is different at each start."""

    name: str
    address: str
    port: int
    seed: int
    sockets: int
    memory_mb: float
    event_bus: Endpoint
    initial_events: Any  # the discovery events before the start, as decoded JSON
    terms: DeploymentSettings


class PeerConfiguration(NamedTuple):
    """The endpoint for datagrams of peers, the peers' endpoints by number, and the own number."""

    listen: Endpoint
    peers: list[Endpoint]
    number: int


def read_configuration(data: bytes) -> Configuration:
    """Decode a configuration.

    Raises ProtocolError, whose text names the setting, what was found and what is allowed.
    """
    document = _decode_object(data)
    listen = _endpoint(document, "listen")
    limits = document.get("limits") or {}
    seed = _seed(document)
    sockets = _limit(limits, "sockets", DEFAULT_SOCKETS)
    memory_mb = _limit(limits, "memory_mb", DEFAULT_MEMORY_MB)
    if sockets < MIN_SOCKETS:
        raise ProtocolError(f"limits.sockets: found {sockets:g}; allowed: {MIN_SOCKETS} or more")
    try:
        terms = read_deployment_settings(document.get("settings"))
    except DeploymentSettingsError as error:
        raise ProtocolError(str(error)) from error
    return Configuration(
        name=str(document.get("name", "")),
        address=listen.address,
        port=listen.port,
        seed=seed,
        sockets=int(sockets),
        memory_mb=memory_mb,
        event_bus=_endpoint(document, "bus"),
        initial_events=document.get("known"),
        terms=terms,
    )


def read_peers(data: bytes) -> PeerConfiguration | None:
    """Decode the peers of a configuration; return None if the settings do not permit peers.

    The caller has passed the same data to `read_configuration` before. Raises ProtocolError.
    """
    document = msgspec.json.decode(data)
    terms = read_deployment_settings(document.get("settings"))
    if not terms.capabilities.tell:
        return None
    addresses = document.get("peers")
    if type(addresses) is not list or not addresses:
        raise ProtocolError(f"peers: found {addresses!r}; allowed: a list of addresses")
    peers = [_endpoint({"peers": address}, "peers") for address in addresses]
    number = terms.fleet_position.number
    if number >= len(peers) or len(set(peers)) < len(peers):
        raise ProtocolError(
            f"peers: found {len(peers)} addresses; allowed: a distinct one for each front end"
        )
    return PeerConfiguration(_endpoint(document, "peer_listen"), peers, number)


def _decode_object(data: bytes) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"not JSON: {error}"[:MAX_ERROR_CHARACTERS]) from error
    if type(document) is not dict:
        raise ProtocolError(f"configuration: found {type(document).__name__}; allowed: one object")
    return document


def _seed(document: dict[str, Any]) -> int:
    try:
        return int(str(document.get("seed", "0")), 16)
    except ValueError as error:
        raise ProtocolError(f"seed: found {document.get('seed')!r}; allowed: hex digits") from error


def _limit(limits: Any, name: str, default: float) -> float:
    value = limits.get(name, default) if type(limits) is dict else None
    if type(value) not in (int, float) or not value > 0:
        raise ProtocolError(f"limits.{name}: found {value!r}; allowed: a number above 0")
    return float(value)


def _endpoint(document: dict[str, Any], name: str) -> Endpoint:
    text = document.get(name)
    address, _, port = text.rpartition(":") if type(text) is str else ("", "", "")
    if not address or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ProtocolError(f"{name}: found {text!r}; allowed: address:port")
    return Endpoint(address, int(port))
