"""Run the command line with `python -m currantwharf`."""

from currantwharf.cli import main

if __name__ == "__main__":
    main(prog_name="currantwharf")
