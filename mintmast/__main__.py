"""`python -m mintmast`."""

import os
import sys


def main() -> None:
    """Run the command line; `node` by a short way: a small machine has no room for the rest."""
    if sys.argv[1:2] == ["node"] and len(sys.argv) <= 3:
        from mintmast.signalling.node import run

        path = sys.argv[2] if len(sys.argv) == 3 else os.environ.get("NODE_CONFIG", "")
        sys.exit(run(path) if path and not path.startswith("-") else usage())
    from mintmast.cli import main as cli

    cli()


def usage() -> int:
    """Say how `node` is used."""
    print("mintmast: node takes its configuration as a file or in NODE_CONFIG", file=sys.stderr)
    return 2


if __name__ == "__main__":
    main()
