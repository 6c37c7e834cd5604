"""Event loop, timers and bounded streams, with one interface for the real network and one in memory."""

from mintmast.loop.base import CloseReason, Handler, StreamLimits, Listener, Loop, Stream, Timer

__all__ = ["Close", "Handler", "Limits", "Listener", "Loop", "Stream", "Timer"]
