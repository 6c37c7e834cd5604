"""Drills: scripted days with load and faults, checked by the audit; a file a family."""

from mintmast.lab.drills.day import FREE, PAID, Day, model, settings
from mintmast.lab.drills.frame import DRILLS, LEAST_HOSTS, nothing_checked, run

__all__ = ["DRILLS", "FREE", "LEAST_HOSTS", "PAID", "Day", "model", "nothing_checked", "run", "settings"]
