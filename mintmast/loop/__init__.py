"""Selector loop, timers and bounded streams; the real network and the one in memory look alike from above."""

from mintmast.loop.base import CloseReason, Handler, StreamLimits, Listener, Loop, Stream, Timer

__all__ = ["Close", "Handler", "Limits", "Listener", "Loop", "Stream", "Timer"]
