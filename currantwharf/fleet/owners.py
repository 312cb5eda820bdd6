"""Choose the owner of each backend server.

The owner is the one instance that speaks to a server: it holds the connections, the
limit and the queue. It is chosen by rendezvous hashing over the usable instances in
the server's data centre, so that all processes with the same view agree on it.
"""

from currantwharf.config import PublishedConfig
from currantwharf.fleet.membership import Membership
from currantwharf.policy.rendezvous import highest, score


class OwnerResolver:
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
        self._doubtful: dict[str, bool] = {}

    def set_self_usable(self, usable: bool) -> None:
        """Say whether this process itself may own servers."""
        self._self_usable = usable

    def find_owner(self, server: str, config: PublishedConfig) -> str | None:
        """Return the owner of `server`, or None when no instance may own it."""
        self._forget_if_changed()
        if server not in self._owner_of:
            home = config.servers[server].data_centre
            self._owner_of[server] = highest(server, self.candidates(home, config))
        return self._owner_of[server]

    def clear_cache(self) -> None:
        """Drop the kept answers, after a change of configuration."""
        self._owner_of.clear()
        self._candidates.clear()
        self._doubtful.clear()

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
        """Return whether most instances of this data centre are heard without doubt.

        Without that, this process may be the one that is cut off. A suspected peer
        counts as unheard here, so that the process doubts itself before the others
        declare it dead and take its servers over.
        """
        return self._hears_most({self._data_centre})

    def is_ownership_uncertain(self, server: str, config: PublishedConfig) -> bool:
        """Return whether others may have taken `server` over from this process."""
        self._forget_if_changed()
        home = config.servers[server].data_centre
        if home not in self._doubtful:
            self._doubtful[home] = not self._is_sure_of(home, config)
        return self._doubtful[home]

    def _is_sure_of(self, home: str, config: PublishedConfig) -> bool:
        if self._listed_in({home}):
            return self.sees_majority()
        return self._hears_most(self._stand_in_pool(home, config))

    def is_candidate_in(self, data_centre: str, config: PublishedConfig) -> bool:
        """Return whether this process is among those that may own servers there."""
        return self._membership.instance in self.candidates(data_centre, config)

    def has_silent_higher_candidate(self, server: str, config: PublishedConfig) -> bool:
        """Return whether an instance that may run unheard ranks higher for `server`."""
        home = config.servers[server].data_centre
        centres = {home} if self._listed_in({home}) else set(config.data_centres)
        mine = score(server, self._membership.instance)
        return any(
            score(server, name) > mine
            for name in self._listed_in(centres)
            if not self._is_usable(name)
        )

    def _hears_most(self, centres: set[str]) -> bool:
        listed = self._listed_in(centres)
        heard = [
            name
            for name in listed
            if self._is_usable(name) and not self._membership.is_suspected(name)
        ]
        return _is_majority(heard, listed)

    def _find_candidates(self, data_centre: str, config: PublishedConfig) -> list[str]:
        listed = self._listed_in({data_centre})
        if listed:
            return self._owners_at_home(listed, data_centre)
        return self._stand_ins(self._stand_in_pool(data_centre, config))

    def _stand_in_pool(self, data_centre: str, config: PublishedConfig) -> set[str]:
        """Return the data centres that stand in for one without instances."""
        region = config.data_centres[data_centre].region
        near = {n for n, dc in config.data_centres.items() if dc.region == region}
        return near if self._listed_in(near) else set(config.data_centres)

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
        listed = self._membership.instance_list.instances
        return [
            name
            for name, entry in listed.items()
            if entry.data_centre in centres
            and entry.state == "live"
            and not self._membership.is_gone(name)
        ]

    def _forget_if_changed(self) -> None:
        seen = (self._membership.change_count, self._self_usable)
        if seen != self._seen:
            self._seen = seen
            self.clear_cache()


def _is_majority(usable: list[str], listed: list[str]) -> bool:
    return 2 * len(usable) > len(listed)
