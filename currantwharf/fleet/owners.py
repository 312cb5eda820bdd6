"""Choose the owner of each backend server.

The owner is the one instance that speaks to a server: it holds the connections, the
limit and the queue. It is chosen by rendezvous hashing over the usable instances in
the server's data centre, so that all processes with the same view agree on it.
"""

from currantwharf.config import PublishedConfig
from currantwharf.fleet.membership import Membership
from currantwharf.fleet.rendezvous import highest


class Owners:
    """Answer who owns a server, from the membership and the configuration.

    Answers are kept until the membership or the configuration changes; one question
    costs a hash for each instance in the data centre the first time.
    """

    def __init__(self, membership: Membership, data_centre: str) -> None:
        self._membership = membership
        self._data_centre = data_centre
        self._self_usable = False
        self._seen: tuple[int, bool] = (-1, False)
        self._owner_of: dict[str, str | None] = {}
        self._candidates: dict[str, list[str]] = {}

    def set_self_usable(self, usable: bool) -> None:
        """Say whether this process itself may own servers."""
        self._self_usable = usable

    def owner_of(self, server: str, config: PublishedConfig) -> str | None:
        """Return the owner of `server`, or None when no instance may own it."""
        self._forget_if_changed()
        if server not in self._owner_of:
            home = config.servers[server].data_centre
            self._owner_of[server] = highest(server, self.candidates(home, config))
        return self._owner_of[server]

    def forget(self) -> None:
        """Drop the kept answers, after a change of configuration."""
        self._owner_of.clear()
        self._candidates.clear()

    def candidates(self, data_centre: str, config: PublishedConfig) -> list[str]:
        """Return the instances that may own servers of `data_centre`.

        Where no instance is listed in the data centre, or nothing listens at any of
        them, those of its region stand in, and after them all others. Instances that
        are merely silent are not stood in for from outside, since a partition looks
        the same.
        """
        self._forget_if_changed()
        if data_centre not in self._candidates:
            self._candidates[data_centre] = self._find_candidates(data_centre, config)
        return self._candidates[data_centre]

    def sees_majority(self) -> bool:
        """Return whether most instances listed in this data centre are usable.

        Without that, this process may be the one that is cut off: it takes over no
        server from an instance that it merely can't hear.
        """
        listed = self._listed_in({self._data_centre})
        usable = [name for name in listed if self._is_usable(name)]
        return _is_majority(usable, listed)

    def _find_candidates(self, data_centre: str, config: PublishedConfig) -> list[str]:
        listed = self._listed_in({data_centre})
        if listed:
            return self._owners_at_home(listed, data_centre)
        region = config.data_centres[data_centre].region
        near = {n for n, dc in config.data_centres.items() if dc.region == region}
        if self._listed_in(near):
            return self._stand_ins(near)
        return self._stand_ins(set(config.data_centres))

    def _owners_at_home(self, listed: list[str], data_centre: str) -> list[str]:
        usable = [name for name in listed if self._is_usable(name)]
        if data_centre == self._data_centre and not _is_majority(usable, listed):
            members = self._membership.members
            return [n for n in listed if n in members or n in usable]
        return usable

    def _stand_ins(self, centres: set[str]) -> list[str]:
        """Return who stands in for a data centre without instances.

        Two sides of a partition must not both stand in, so the smaller does not.
        """
        listed = self._listed_in(centres)
        usable = [name for name in listed if self._is_usable(name)]
        return usable if _is_majority(usable, listed) else []

    def _is_usable(self, name: str) -> bool:
        if name == self._membership.instance:
            return self._self_usable
        return self._membership.usable(name)

    def _listed_in(self, centres: set[str]) -> list[str]:
        listed = self._membership.list.instances
        return [
            name
            for name, entry in listed.items()
            if entry.data_centre in centres
            and entry.state == "live"
            and not self._membership.is_gone(name)
        ]

    def _forget_if_changed(self) -> None:
        seen = (self._membership.changes, self._self_usable)
        if seen != self._seen:
            self._seen = seen
            self.forget()


def _is_majority(usable: list[str], listed: list[str]) -> bool:
    return 2 * len(usable) > len(listed)
