"""Command line of the demonstration: ``python -m galenaferry.demo [--check]``."""

import argparse

from .run import run_demo


def main() -> int:
    """Parse the arguments and run the demonstration."""
    parser = argparse.ArgumentParser(
        description="run a galenaferry fleet on this machine"
    )
    parser.add_argument(
        "--check", action="store_true", help="exit after the load; nonzero on problems"
    )
    parser.add_argument("--requests", type=int, default=1500)
    arguments = parser.parse_args()
    return run_demo(arguments.check, arguments.requests)


if __name__ == "__main__":
    raise SystemExit(main())
