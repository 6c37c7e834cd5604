"""Event loop, timers and bounded streams, with one interface for the real network and one in memory."""

from mintmast.loop.base import CloseReason, Handler, Listener, Loop, Stream, StreamLimits, Timer

__all__ = ["CloseReason", "Handler", "Listener", "Loop", "Stream", "StreamLimits", "Timer"]
