"""Run all unit tests and print the numbers of passed and failed tests."""

import sys
import unittest

import click


def main() -> int:
    """Run all tests and return the exit code."""
    suite = unittest.defaultTestLoader.discover("currantwharf", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    click.echo(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
