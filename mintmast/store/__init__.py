"""What a gateway keeps over its death, on disk: SQLite in a process of its own, and the line to it."""

from mintmast.store.engine import Engine, StoreError
from mintmast.store.line import StoreLine, open_store

__all__ = ["Engine", "StoreError", "StoreLine", "open_store"]
