"""Run the command line with `python -m currantwharf`."""

import sys

from currantwharf.runtime.early_signals import hold_signals
from currantwharf.runtime.standard_streams import open_missing_streams


def run() -> None:
    """Run the command line; a gateway is first made safe to start."""
    if sys.argv[1:2] == ["gateway"]:
        hold_signals()
        open_missing_streams()
    from currantwharf.cli import main

    main(prog_name="currantwharf")


if __name__ == "__main__":
    run()
