"""The other instances, as far as they were heard of."""

import random
from collections import Counter
from dataclasses import dataclass, replace

from currantwharf.peers.centre_counts import COUNT_TTL_S, InstanceCounts
from currantwharf.peers.hello import Hello, InstanceCount, MemberNews
from currantwharf.policy.rendezvous import highest, score

LIVE_S = 8.0  # seconds without a word after which an instance is no longer counted
READER_S = 3.0  # seconds without a word after which another one reads the store
FORGET_S = 60.0  # seconds after which a silent instance is not asked any more
LEAST_FOR_HUBS = 6  # instances of a data centre; fewer keep their connections warm
INSTANCES_FOR_A_HUB = 7  # instances near by for which one runs the queries
TROUBLE_S = 12.0  # seconds after a failure of the store in which it is not trusted
NEWS = 4  # instances that one datagram tells of
CALLERS_PART = 0.5  # of the fleet's budgets, for those that run the queries of others


@dataclass(frozen=True, slots=True)
class Peer:
    """Hold what is known of one instance; `heard_at` also counts hearsay."""

    name: str
    host: str
    data_centre: str
    heard_at: float
    can_read: bool = True
    revision: int = 0
    is_serving: bool = False
    cores: float = 0.0


class PeerTable:
    """Know whom to tell, how many instances there are and who reads the store."""

    def __init__(self, name: str, data_centre: str, rng: random.Random) -> None:
        self.name = name
        self._data_centre = data_centre
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._counts = InstanceCounts()
        self._trouble_at = -TROUBLE_S

    def record_hello(self, hello: Hello, now: float) -> bool:
        """Note a hello; return whether its sender was unknown."""
        if hello.name == self.name:
            return False
        is_new = hello.name not in self._peers
        if not hello.can_read:
            self._trouble_at = now
        self._peers[hello.name] = Peer(
            hello.name,
            hello.host,
            hello.data_centre,
            now,
            hello.can_read,
            hello.revision,
            hello.is_serving,
            hello.cores,
        )
        for member_summaries in hello.members:
            self._take_news(member_summaries, now)
        self._counts.record_hello(hello.counts, now)
        return is_new

    def member_summaries(self, data_centre: str, now: float) -> tuple[MemberNews, ...]:
        """Return what a datagram to a data centre tells of others there.

        Inside this one the reader of the store comes first.
        """
        live = [
            peer
            for peer in self._peers.values()
            if peer.data_centre == data_centre and now - peer.heard_at < LIVE_S
        ]
        chosen = self._rng.sample(live, min(NEWS, len(live)))
        reader = self._peers.get(self.reader(now, can_read=True) or "")
        if reader in live and reader not in chosen:
            chosen[0] = reader
        return tuple(
            MemberNews(
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

    def counts(self, now: float) -> tuple[InstanceCount, ...]:
        """Return what a datagram tells of the size of the fleet."""
        own = InstanceCount(self._data_centre, self.near_size(now), 0.0)
        return (own, *self._counts.member_summaries(self._data_centre, now))

    def targets(self, now: float, near: int, far: int) -> list[Peer]:
        """Return instances to tell: some of this data centre and some of others."""
        known = [
            peer for peer in self._peers.values() if now - peer.heard_at < FORGET_S
        ]
        own = [peer for peer in known if peer.data_centre == self._data_centre]
        others = [peer for peer in known if peer.data_centre != self._data_centre]
        return [
            *self._rng.sample(own, min(near, len(own))),
            *self._rng.sample(others, min(far, len(others))),
        ]

    def reader(self, now: float, can_read: bool) -> str | None:
        """Return who reads the store for this data centre.

        `can_read` tells whether this instance could. Where none could, the one that
        would be chosen goes on trying.
        """
        live = {
            peer.name: peer.can_read
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre and now - peer.heard_at < READER_S
        }
        live[self.name] = can_read
        able = [name for name, able in live.items() if able]
        return highest(f"reader|{self._data_centre}", able or live)

    def hubs(self, now: float, cores: float) -> list[Peer]:
        """Return the instances near by that run queries for the others.

        A small data centre has none. The strongest processors come first; `cores` is
        this instance's, which is among them under its own name if it is a hub.
        """
        live = [peer for peer in self._near(now, LIVE_S) if peer.is_serving]
        live.append(Peer(self.name, "", self._data_centre, now, cores=cores))
        if len(live) < LEAST_FOR_HUBS:
            return []
        live.sort(key=lambda p: (-round(p.cores, 1), score("hub", p.name)))
        return live[: _callers(len(live))]

    def has_recent_store_failure(self, now: float) -> bool:
        """Return whether the store has failed any instance in the last while."""
        return now - self._trouble_at < TROUBLE_S

    def newest_revision(self) -> int:
        """Return the highest revision that any other instance has told of."""
        return max((peer.revision for peer in self._peers.values()), default=0)

    def has_recent_contact(self, now: float) -> bool:
        """Return whether any other instance was heard a moment ago."""
        return any(now - peer.heard_at < READER_S for peer in self._peers.values())

    def fleet_size(self, now: float) -> int:
        """Return the number of instances that were about in the last while."""
        return sum(self._sizes(now).values())

    def near_size(self, now: float) -> int:
        """Return the number of instances of this data centre."""
        return 1 + len(self._near(now, COUNT_TTL_S))

    def budget_share(self, now: float, cores: float) -> float:
        """Return the part of the fleet's budgets that this instance may spend.

        Half is shared by all, half by those that call backend servers most: the hubs,
        and the instances of small data centres. Over all instances it adds up to 1.
        """
        sizes = self._sizes(now).values()
        budget_share = (1 - CALLERS_PART) / sum(sizes)
        hubs = self.hubs(now, cores)
        if not hubs or any(hub.name == self.name for hub in hubs):
            budget_share += CALLERS_PART / sum(
                _callers(fleet_size) for fleet_size in sizes
            )
        return budget_share

    def expire(self, now: float) -> None:
        """Forget instances that have been silent for long."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > FORGET_S:
                del self._peers[name]

    def _near(self, now: float, within_s: float) -> list[Peer]:
        """Return the others of this data centre that were heard of so lately."""
        return [
            peer
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre and now - peer.heard_at < within_s
        ]

    def _sizes(self, now: float) -> dict[str, int]:
        """Return the number of instances of each data centre."""
        known = Counter(
            peer.data_centre
            for peer in self._peers.values()
            if now - peer.heard_at < COUNT_TTL_S
        )
        known[self._data_centre] += 1
        names = known.keys() | self._counts.names(now)
        return {name: max(known[name], self._counts.count(name, now)) for name in names}

    def _take_news(self, member_summaries: MemberNews, now: float) -> None:
        if member_summaries.name == self.name:
            return
        heard_at = now - max(0.0, member_summaries.age_s)
        if not member_summaries.can_read:
            self._trouble_at = max(self._trouble_at, heard_at)
        known = self._peers.get(member_summaries.name)
        if known is None:
            known = Peer(
                member_summaries.name,
                member_summaries.host,
                member_summaries.data_centre,
                heard_at,
            )
        if known.heard_at <= heard_at:
            self._peers[member_summaries.name] = replace(
                known,
                heard_at=heard_at,
                can_read=member_summaries.can_read,
                is_serving=member_summaries.is_serving,
                cores=member_summaries.cores,
            )


def _callers(instances: int) -> int:
    """Return how many instances of a data centre call backend servers for queries."""
    if instances < LEAST_FOR_HUBS:
        return instances
    return max(1, instances // INSTANCES_FOR_A_HUB)
