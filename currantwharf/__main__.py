"""Run the command line with `python -m currantwharf`."""

import sys

from currantwharf.runtime.early_signals import hold_signals


def run() -> None:
    """Run the command line; the gateway gets its signals once it can handle them."""
    if sys.argv[1:2] == ["gateway"]:
        hold_signals()
    from currantwharf.cli import main

    main(prog_name="currantwharf")


if __name__ == "__main__":
    run()
