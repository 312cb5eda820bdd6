"""Decide whether a configuration replaces the one in force."""

from currantwharf.config.versioned_config import VersionedConfig


def is_newer(candidate_version: int, current: VersionedConfig | None) -> bool:
    """Return whether a candidate replaces the configuration in force.

    Only a higher version replaces a lower one, whether it comes from the platform's
    configuration service or from a peer. A service restored from an old backup
    therefore can't revert a change that any live instance still has.

    >>> is_newer(3, None)
    True
    """
    return current is None or candidate_version > current.version
