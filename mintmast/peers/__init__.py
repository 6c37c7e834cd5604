"""What gateways of a region say to each other."""

from mintmast.peers.transport import PeerTransport
from mintmast.peers.membership_transport import MembershipTransport, parse_address

__all__ = ["PeerTransport", "MembershipTransport", "parse_address"]
