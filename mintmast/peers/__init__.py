"""Transport between the gateways of a region."""

from mintmast.peers.transport import PeerTransport
from mintmast.peers.membership_transport import MembershipTransport, parse_address

__all__ = ["PeerTransport", "MembershipTransport", "parse_address"]
