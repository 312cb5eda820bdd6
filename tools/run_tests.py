"""Run every unittest and end with a line that counts them."""

import sys
import unittest

import click


def main() -> int:
    """Run the tests and return the exit code."""
    suite = unittest.defaultTestLoader.discover("currantwharf", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - bad - len(result.skipped)
    click.echo(f"{passed} passed, {bad} failed")
    return 1 if bad or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
