"""The other instances of the fleet, as known through gossip."""

import random
from collections import Counter
from dataclasses import dataclass, replace

from currantwharf.gateway.store_position import NO_ERA, StorePosition
from currantwharf.peers.hello import Hello, InstanceCount, MemberSummary
from currantwharf.peers.instance_counts import COUNT_TTL_S, InstanceCounts
from currantwharf.policy.rendezvous import highest, score

# Silence after which an instance is neither listed in hellos nor used as a hub.
LIVENESS_TIMEOUT_S = 8.0
READER_TIMEOUT_S = 3.0  # silence after which another instance reads the store
FORGET_AFTER_S = 60.0  # silence after which an instance is no longer contacted
# A smaller data centre has no hubs: its few instances keep their connections warm.
MIN_INSTANCES_FOR_HUBS = 6
INSTANCES_PER_HUB = 7  # instances of a data centre whose queries one hub runs
STORE_FAILURE_TTL_S = 12.0  # time after a failure in which the store is not trusted
MAX_MEMBERS_PER_HELLO = 4
NO_POSITION = StorePosition(NO_ERA, 0)
HUB_BUDGET_RATIO = 0.5  # share of the fleet's budgets for instances that run queries


@dataclass(frozen=True, slots=True)
class Peer:
    """What is known about another instance.

    `heard_at` is the time of the newest report about it, whether it came from the
    instance itself or through another one.
    """

    name: str
    host: str
    data_centre: str
    heard_at: float
    can_read: bool = True
    position: StorePosition = NO_POSITION
    is_serving: bool = False
    cores: float = 0.0


class PeerTable:
    """Membership table of the fleet.

    It selects the recipients of gossip, estimates the size of the fleet, and elects
    the instance that reads the store and the hubs of the data centre.
    """

    def __init__(self, name: str, data_centre: str, rng: random.Random) -> None:
        self.name = name
        self._data_centre = data_centre
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._counts = InstanceCounts()
        self._store_failed_at = -STORE_FAILURE_TTL_S

    def record_hello(self, hello: Hello, now: float) -> bool:
        """Record a received hello; return whether its sender was unknown."""
        if hello.name == self.name:
            return False
        is_new = hello.name not in self._peers
        if not hello.can_read:
            self._store_failed_at = now
        self._peers[hello.name] = Peer(
            hello.name,
            hello.host,
            hello.data_centre,
            now,
            hello.can_read,
            StorePosition(hello.era, hello.revision),
            hello.is_serving,
            hello.cores,
        )
        for member in hello.members:
            self._record_member(member, now)
        self._counts.record(hello.counts, now)
        return is_new

    def choose_member_summaries(
        self, data_centre: str, now: float
    ) -> tuple[MemberSummary, ...]:
        """Return summaries of random live instances of the recipient's data centre.

        If that is this instance's own data centre and another instance reads the store
        for it, the summary of that instance is always included.
        """
        live = [
            peer
            for peer in self._peers.values()
            if peer.data_centre == data_centre
            and now - peer.heard_at < LIVENESS_TIMEOUT_S
        ]
        chosen = self._rng.sample(live, min(MAX_MEMBERS_PER_HELLO, len(live)))
        reader = self._peers.get(self.choose_reader(now, can_read=True) or "")
        if reader in live and reader not in chosen:
            chosen[0] = reader
        return tuple(
            MemberSummary(
                peer.name,
                peer.host,
                peer.data_centre,
                round(now - peer.heard_at, 2),
                peer.can_read,
                peer.is_serving,
                peer.cores,
            )
            for peer in chosen
        )

    def list_counts(self, now: float) -> tuple[InstanceCount, ...]:
        """Return the instance counts of all data centres for a hello."""
        own = InstanceCount(self._data_centre, self.data_centre_size(now), 0.0)
        return (own, *self._counts.list_recent_counts(self._data_centre, now))

    def choose_targets(
        self, now: float, local_count: int, remote_count: int
    ) -> list[Peer]:
        """Choose random instances of this data centre and of the others."""
        known = [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at < FORGET_AFTER_S
        ]
        local = [peer for peer in known if peer.data_centre == self._data_centre]
        remote = [peer for peer in known if peer.data_centre != self._data_centre]
        return [
            *self._rng.sample(local, min(local_count, len(local))),
            *self._rng.sample(remote, min(remote_count, len(remote))),
        ]

    def choose_reader(self, now: float, can_read: bool) -> str | None:
        """Return the name of the instance that reads the store for this data centre.

        `can_read` is whether this instance can read the store. If no instance of the
        data centre can, the one with the highest score among all of them keeps trying.
        """
        can_read_by_name = {
            peer.name: peer.can_read
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre
            and now - peer.heard_at < READER_TIMEOUT_S
        }
        can_read_by_name[self.name] = can_read
        able = [name for name, is_able in can_read_by_name.items() if is_able]
        return highest(f"reader|{self._data_centre}", able or can_read_by_name)

    def choose_hubs(self, now: float, cores: float) -> list[Peer]:
        """Return the instances of this data centre that run queries for the others.

        A small data centre has none. Instances with the most cores are chosen first.
        `cores` is the capacity of this instance, which is in the list if it is a hub.
        """
        live = [
            peer
            for peer in self._local_peers(now, LIVENESS_TIMEOUT_S)
            if peer.is_serving
        ]
        live.append(Peer(self.name, "", self._data_centre, now, cores=cores))
        if len(live) < MIN_INSTANCES_FOR_HUBS:
            return []
        live.sort(key=_hub_rank)
        return live[: _count_querying_instances(len(live))]

    def choose_querying_instances(self, now: float, data_centre: str) -> list[Peer]:
        """Return the known instances of a data centre that call backend servers most.

        These are its hubs, or all of its instances if it is too small to have any.
        """
        size = self._sizes_by_data_centre(now).get(data_centre, 0)
        known = [
            peer
            for peer in self._peers.values()
            if peer.data_centre == data_centre
            and peer.is_serving
            and now - peer.heard_at < LIVENESS_TIMEOUT_S
        ]
        known.sort(key=_hub_rank)
        return known[: _count_querying_instances(size)]

    def has_recent_store_failure(self, now: float) -> bool:
        """Return whether any instance recently reported a failure of the store."""
        return now - self._store_failed_at < STORE_FAILURE_TTL_S

    def newest_position(self) -> StorePosition:
        """Return the newest store position that another instance has reported."""
        positions = (peer.position for peer in self._peers.values())
        return max(positions, default=NO_POSITION)

    def has_recent_contact(self, now: float) -> bool:
        """Return whether any other instance was heard of within `READER_TIMEOUT_S`."""
        return any(
            now - peer.heard_at < READER_TIMEOUT_S for peer in self._peers.values()
        )

    def fleet_size(self, now: float) -> int:
        """Return the number of instances of the fleet, this one included.

        Instances that have been silent for less than `COUNT_TTL_S` are included.
        """
        return sum(self._sizes_by_data_centre(now).values())

    def data_centre_size(self, now: float) -> int:
        """Return the number of instances of this data centre, this one included.

        Instances that have been silent for less than `COUNT_TTL_S` are included.
        """
        return 1 + len(self._local_peers(now, COUNT_TTL_S))

    def budget_share(self, now: float, cores: float) -> float:
        """Return the share of the fleet's budgets that this instance may spend.

        Half of each budget is divided among all instances, half among those that call
        backend servers most: the hubs, and all instances of data centres without hubs.
        The shares of all instances add up to 1.
        """
        sizes = self._sizes_by_data_centre(now).values()
        share = (1 - HUB_BUDGET_RATIO) / sum(sizes)
        hubs = self.choose_hubs(now, cores)
        if not hubs or any(hub.name == self.name for hub in hubs):
            share += HUB_BUDGET_RATIO / sum(
                _count_querying_instances(size) for size in sizes
            )
        return share

    def expire(self, now: float) -> None:
        """Remove instances that have been silent for `FORGET_AFTER_S`."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > FORGET_AFTER_S:
                del self._peers[name]

    def _local_peers(self, now: float, within_s: float) -> list[Peer]:
        """Return the other instances of this data centre heard of within `within_s`."""
        return [
            peer
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre and now - peer.heard_at < within_s
        ]

    def _sizes_by_data_centre(self, now: float) -> dict[str, int]:
        """Return the number of instances by data centre, this instance included."""
        known = Counter(
            peer.data_centre
            for peer in self._peers.values()
            if now - peer.heard_at < COUNT_TTL_S
        )
        known[self._data_centre] += 1
        names = known.keys() | self._counts.list_data_centres(now)
        return {
            name: max(known[name], self._counts.get_count(name, now)) for name in names
        }

    def _record_member(self, member: MemberSummary, now: float) -> None:
        if member.name == self.name:
            return
        heard_at = now - max(0.0, member.age_s)
        if not member.can_read:
            self._store_failed_at = max(self._store_failed_at, heard_at)
        known = self._peers.get(member.name)
        if known is None:
            known = Peer(member.name, member.host, member.data_centre, heard_at)
        if known.heard_at <= heard_at:
            self._peers[member.name] = replace(
                known,
                heard_at=heard_at,
                can_read=member.can_read,
                is_serving=member.is_serving,
                cores=member.cores,
            )


def _hub_rank(peer: Peer) -> tuple[float, int]:
    """Return the sort key of hubs: those with the most cores come first."""
    return -round(peer.cores, 1), score("hub", peer.name)


def _count_querying_instances(instances: int) -> int:
    """Return how many instances of a data centre send queries to backend servers."""
    if instances < MIN_INSTANCES_FOR_HUBS:
        return instances
    return max(1, instances // INSTANCES_PER_HUB)
