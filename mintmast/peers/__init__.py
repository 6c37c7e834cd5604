"""What gateways of a region say to each other."""

from mintmast.peers.lines import PeerLines
from mintmast.peers.roster import Roster

__all__ = ["PeerLines", "Roster"]
