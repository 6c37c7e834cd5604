"""The DASH front: manifests over HTTP, with session tokens (ISO/IEC 23009-1)."""

from mintmast.fronts.dash.front import DashFront

__all__ = ["DashFront"]
