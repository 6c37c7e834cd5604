"""Entry point of `python -m mintmast`."""

import os
import sys


def main() -> None:
    """Run the command line; `node` is handled without importing it, which would not fit a small machine."""
    if sys.argv[1:2] == ["node"] and len(sys.argv) <= 3:
        from mintmast.signalling.process import run

        path = sys.argv[2] if len(sys.argv) == 3 else os.environ.get("NODE_CONFIG", "")
        sys.exit(run(path) if path and not path.startswith("-") else usage())
    from mintmast.cli import main as cli

    cli()


def usage() -> int:
    """Print the usage of `node` and return the exit status."""
    print("mintmast: node needs a configuration file as its argument or in NODE_CONFIG", file=sys.stderr)
    return 2


if __name__ == "__main__":
    main()
