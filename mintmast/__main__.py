"""`python -m mintmast`."""

from mintmast.cli import main

if __name__ == "__main__":
    main()
