"""Choice of the instance that owns each backend server.

The owner is the only instance that sends requests to a server. It holds the
connections, the limit and the queue. It is chosen by rendezvous hashing over the
usable instances in the data centre of the server, so all processes with the same view
agree on it.
"""

from currantwharf.config import PublishedConfig
from currantwharf.fleet.membership import Membership
from currantwharf.policy.rendezvous import highest, score


class OwnerResolver:
    """Find the owner of a server from the membership and the configuration.

    Results are cached until the membership or the configuration changes. A result
    that is not cached takes one hash per instance in the data centre.
    """

    def __init__(self, membership: Membership, data_centre: str) -> None:
        self._membership = membership
        self._data_centre = data_centre
        self._self_usable = False
        self._cache_key: tuple[int, bool] = (-1, False)
        self._owner_by_server: dict[str, str | None] = {}
        self._candidates_by_data_centre: dict[str, list[str]] = {}
        self._ownership_uncertain: dict[str, bool] = {}

    def set_self_usable(self, usable: bool) -> None:
        """Set whether this process itself can own servers."""
        self._self_usable = usable

    def find_owner(self, server: str, config: PublishedConfig) -> str | None:
        """Return the owner of `server`, or None if no instance can own it."""
        self._clear_cache_if_changed()
        if server not in self._owner_by_server:
            data_centre = config.servers[server].data_centre
            self._owner_by_server[server] = highest(
                server, self.find_candidates(data_centre, config)
            )
        return self._owner_by_server[server]

    def clear_cache(self) -> None:
        """Clear the cached results after a change of the configuration."""
        self._owner_by_server.clear()
        self._candidates_by_data_centre.clear()
        self._ownership_uncertain.clear()

    def find_candidates(self, data_centre: str, config: PublishedConfig) -> list[str]:
        """Return the instances that can own servers of `data_centre`.

        If no instance is listed in the data centre, or all listed ones are gone, the
        instances of its region are used, and if there are none, all others. Instances
        that merely do not answer are not replaced from outside the data centre, because
        they may be running behind a partition.
        """
        self._clear_cache_if_changed()
        if data_centre not in self._candidates_by_data_centre:
            self._candidates_by_data_centre[data_centre] = self._compute_candidates(
                data_centre, config
            )
        return self._candidates_by_data_centre[data_centre]

    def sees_majority(self) -> bool:
        """Return whether a majority of this data centre is usable and not suspected.

        Otherwise this process itself may be partitioned. Suspected peers do not count
        here, so that this process treats its ownership as uncertain before the others
        declare it dead and take over its servers.
        """
        return self._reaches_majority({self._data_centre})

    def is_ownership_uncertain(self, server: str, config: PublishedConfig) -> bool:
        """Return whether another instance may have taken over `server`."""
        self._clear_cache_if_changed()
        data_centre = config.servers[server].data_centre
        if data_centre not in self._ownership_uncertain:
            self._ownership_uncertain[data_centre] = not self._is_ownership_certain(
                data_centre, config
            )
        return self._ownership_uncertain[data_centre]

    def _is_ownership_certain(self, data_centre: str, config: PublishedConfig) -> bool:
        if self._find_listed({data_centre}):
            return self.sees_majority()
        return self._reaches_majority(
            self._find_fallback_data_centres(data_centre, config)
        )

    def is_candidate_in(self, data_centre: str, config: PublishedConfig) -> bool:
        """Return whether this process can own servers of `data_centre`."""
        return self._membership.instance in self.find_candidates(data_centre, config)

    def has_silent_higher_candidate(self, server: str, config: PublishedConfig) -> bool:
        """Return whether an unusable instance ranks higher for `server` than this one.

        Such an instance may still be running and own the server.
        """
        data_centre = config.servers[server].data_centre
        data_centres = (
            {data_centre}
            if self._find_listed({data_centre})
            else set(config.data_centres)
        )
        own_score = score(server, self._membership.instance)
        return any(
            score(server, name) > own_score
            for name in self._find_listed(data_centres)
            if not self._is_usable(name)
        )

    def _reaches_majority(self, data_centres: set[str]) -> bool:
        listed = self._find_listed(data_centres)
        reachable = [
            name
            for name in listed
            if self._is_usable(name) and not self._membership.is_suspected(name)
        ]
        return _is_majority(reachable, listed)

    def _compute_candidates(
        self, data_centre: str, config: PublishedConfig
    ) -> list[str]:
        listed = self._find_listed({data_centre})
        if listed:
            return self._find_local_candidates(listed, data_centre)
        return self._find_fallback_candidates(
            self._find_fallback_data_centres(data_centre, config)
        )

    def _find_fallback_data_centres(
        self, data_centre: str, config: PublishedConfig
    ) -> set[str]:
        """Return the data centres whose instances replace missing ones."""
        region = config.data_centres[data_centre].region
        same_region = {
            n for n, dc in config.data_centres.items() if dc.region == region
        }
        return (
            same_region if self._find_listed(same_region) else set(config.data_centres)
        )

    def _find_local_candidates(self, listed: list[str], data_centre: str) -> list[str]:
        """Return the candidates for a data centre with instances.

        If this process sees only a minority of its own data centre, all known members
        remain candidates, so that it takes over nothing.
        """
        usable = [name for name in listed if self._is_usable(name)]
        if data_centre == self._data_centre and not _is_majority(usable, listed):
            members = self._membership.members
            return [n for n in listed if n in members or n in usable]
        return usable

    def _find_fallback_candidates(self, data_centres: set[str]) -> list[str]:
        """Return the candidates for a data centre without instances.

        The list is empty without a majority, so that two sides of a partition never
        both take over the servers.
        """
        listed = self._find_listed(data_centres)
        usable = [name for name in listed if self._is_usable(name)]
        return usable if _is_majority(usable, listed) else []

    def _is_usable(self, name: str) -> bool:
        if name == self._membership.instance:
            return self._self_usable
        return self._membership.is_usable(name)

    def _find_listed(self, data_centres: set[str]) -> list[str]:
        """Return the instances listed as live in `data_centres` that are not gone."""
        listed = self._membership.instance_list.instances
        return [
            name
            for name, instance in listed.items()
            if instance.data_centre in data_centres
            and instance.state == "live"
            and not self._membership.is_gone(name)
        ]

    def _clear_cache_if_changed(self) -> None:
        cache_key = (self._membership.change_count, self._self_usable)
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self.clear_cache()


def _is_majority(usable: list[str], listed: list[str]) -> bool:
    return 2 * len(usable) > len(listed)
