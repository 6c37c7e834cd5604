"""A disk in memory for drills: records that outlive a gateway's process, and what a crash may do to them."""

from __future__ import annotations

import random
from collections.abc import Callable

from mintmast.decisions.gateways.records import (
    RecordKind,
    RecordsWritten,
    RecoveredState,
    StoredRecord,
    WriteRecords,
    encode_record,
    next_generation,
    recover_state,
)
from mintmast.loop.memory import Node, World

# µs of a flush: the range of a disk that others use too
FLUSH = (500, 8000)


class Disk:
    """What is on disk of one gateway. A write that was under way at a crash may have come, by record."""

    def __init__(self, seed: str) -> None:
        self.rows: dict[tuple[str, str], StoredRecord] = {}
        self.random = random.Random(seed)

    def put(self, records: tuple[StoredRecord, ...]) -> None:
        """Make these durable."""
        for each in records:
            if each.value is None:
                self.rows.pop((each.kind, each.key), None)
            else:
                self.rows[each.kind, each.key] = each


class MemoryStore:
    """One life's line to its disk."""

    failing = ""
    size = (0, 0)

    def __init__(
        self, world: World, node: Node, disk: Disk, wall_ms: int, flush: tuple[int, int] = FLUSH
    ) -> None:
        self._flush_time = flush
        self._world, self._node, self._disk = world, node, disk
        self.kept: RecoveredState = recover_state(disk.rows.values())
        self.start = next_generation(wall_ms, self.kept.generation)
        disk.put((encode_record(RecordKind.GENERATION, "", self.start),))
        self._written: Callable[[RecordsWritten], None] = lambda event: None
        self._last = 0

    def attach(self, written: Callable[[RecordsWritten], None], say: Callable[..., None]) -> None:
        """Tell who hears the end of writes."""
        self._written = written

    def write(self, command: WriteRecords) -> None:
        """Flush after a while; writes end in the order in which they came."""
        at = self._world.time + self._disk.random.randint(*self._flush_time)
        self._last = max(self._last, at)
        self._world.at(self._last, self._flush, command)

    def _flush(self, command: WriteRecords) -> None:
        if self._node.alive:
            self._disk.put(command.records)
            if command.token:
                self._node.run_callback(self._written, RecordsWritten(command.token, True))
            return
        self._disk.put(tuple(each for each in command.records if self._disk.random.random() < 0.5))

    def close(self) -> None:
        """Nothing: what was written is flushed in its time."""
