"""Turn the real reactor by hand, for tests on loopback."""

from twisted.internet import reactor
from twisted.internet.defer import Deferred

STEP_S = 0.01
LONGEST_S = 10.0


class DidNotComeAboutError(AssertionError):
    """What a test has waited for did not happen in time."""


def run_until(is_so, within_s=LONGEST_S):
    """Turn the reactor until `is_so` returns true."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    deadline = reactor.seconds() + within_s
    while not is_so():
        if reactor.seconds() > deadline:
            raise DidNotComeAboutError
        reactor.iterate(STEP_S)


def run_for(seconds):
    """Turn the reactor for some seconds."""
    end = reactor.seconds() + seconds
    run_until(lambda: reactor.seconds() >= end, seconds + 1)


def result_of(deferred: Deferred):
    """Turn the reactor until a deferred has its result, and return it."""
    results = []
    deferred.addBoth(results.append)
    run_until(lambda: results)
    return results[0]
