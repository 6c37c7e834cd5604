"""Sessions, neutral of any protocol: between the fronts, the decisions and the hosts."""

from mintmast.core.ports import HostEvents, HostPort, ListSource, SetUpRequest
from mintmast.core.service import Core

__all__ = ["Core", "HostEvents", "HostPort", "ListSource", "SetUpRequest"]
