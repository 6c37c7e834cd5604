"""Transport between the gateways of a region."""

from mintmast.peers.lines import PeerLines
from mintmast.peers.roster import Roster, address_of

__all__ = ["PeerLines", "Roster", "address_of"]
