"""Transport between the gateways of a region."""

from mintmast.peers.membership_transport import MembershipTransport, parse_address
from mintmast.peers.transport import PeerTransport

__all__ = ["PeerTransport", "MembershipTransport", "parse_address"]
