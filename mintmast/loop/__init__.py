"""Selector loop, timers and bounded streams; the real network and the one in memory look alike from above."""

from mintmast.loop.base import CloseReason, Handler, Listener, Loop, Stream, StreamLimits, Timer

__all__ = ["CloseReason", "Handler", "Listener", "Loop", "Stream", "StreamLimits", "Timer"]
