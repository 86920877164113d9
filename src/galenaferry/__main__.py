"""Run the operator's command line."""

from .operator.command import main

if __name__ == "__main__":
    raise SystemExit(main())
