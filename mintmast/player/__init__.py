"""A DASH player without a screen: manifest, token, segments, a buffer, and a report of how it went."""

from mintmast.player.dash import Player, Report

__all__ = ["Player", "Report"]
