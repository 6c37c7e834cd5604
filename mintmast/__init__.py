"""Session control for a fleet of media servers: where a session plays, at which rung, or not at all."""

from mintmast.decide import Controller

__all__ = ["Controller"]
