"""Membership of a front end on the platform, with the peers that the configuration names.

`service.py` starts it if the owner asks for peers and the deployment permits them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet import interfaces

from ..membership.service import MembershipService, PeerAddress, new_incarnation_token
from ..platform.configuration import Configuration, read_peers

FLEET_NAME = "platform"


def start_membership(
    reactor: interfaces.IReactorTime, configuration: Configuration, read: Callable[[], bytes], log
) -> MembershipService | None:
    """Join the peers that the configuration names; return None if the settings do not permit peers.

    Peers are reachable by datagrams only, so a member can't be proved dead. The members are observed, but
    the quota of this front end stays its own share. Raises ProtocolError, and OSError from `read`.
    """
    peers = read_peers(read())
    if peers is None:
        return None
    members = [PeerAddress(str(endpoint), *endpoint) for endpoint in peers.peers]
    own_entry = PeerAddress(members[peers.number].name, *peers.listen)
    random_source = random.Random(f"{configuration.seed}/{configuration.name}/members")
    membership = MembershipService(
        reactor, own_entry, FLEET_NAME, members, new_incarnation_token(), random_source, log, None
    )
    membership.startService()
    return membership
