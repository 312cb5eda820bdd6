"""Helpers that iterate the real reactor, for tests on loopback."""

from twisted.internet import reactor
from twisted.internet.defer import Deferred

STEP_S = 0.01
MAX_WAIT_S = 10.0


class WaitTimeoutError(AssertionError):
    """The condition that a test waited for did not become true in time."""


def run_until(condition, timeout_s=MAX_WAIT_S):
    """Iterate the reactor until `condition` returns true."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    deadline = reactor.seconds() + timeout_s
    while not condition():
        if reactor.seconds() > deadline:
            raise WaitTimeoutError
        reactor.iterate(STEP_S)


def run_for(seconds):
    """Iterate the reactor for `seconds`."""
    end = reactor.seconds() + seconds
    run_until(lambda: reactor.seconds() >= end, seconds + 1)


def result_of(deferred: Deferred):
    """Iterate the reactor until a deferred fires, and return its result."""
    results = []
    deferred.addBoth(results.append)
    run_until(lambda: results)
    return results[0]
