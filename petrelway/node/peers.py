"""Membership of a front end on the platform: the other front ends, as the configuration names them.

`service.py` starts it where peers are wanted and the deployment permits them.
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
    """Join the peers that the configuration names; None where peers are not permitted.

    Only datagrams lead to them here, so no member can be proved dead: members are seen, but the quota of this
    front end stays its own share. Raises ProtocolError, or OSError of `read`.
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
