"""The protocol-neutral core, which connects the fronts, the decisions and the host adapters."""

from mintmast.core.ports import HostEvents, HostPort, ListSource, SetUpRequest
from mintmast.core.service import Core

__all__ = ["Core", "HostEvents", "HostPort", "ListSource", "SetUpRequest"]
