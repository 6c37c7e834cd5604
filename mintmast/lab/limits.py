"""Checks the project's own limit on the length of code lines."""

from __future__ import annotations

import sys
from pathlib import Path

LINE = 110


def main() -> int:
    """Print what is over its limit; 1 if anything is."""
    faults: list[str] = []
    for folder in ("mintmast", "tests", "benchmarks"):
        for path in sorted(Path(folder).rglob("*.py")):
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                if len(line) > LINE:
                    faults.append(f"{path}:{number}: {len(line)} characters")
    print("\n".join(faults) or f"no line is longer than {LINE} characters")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
