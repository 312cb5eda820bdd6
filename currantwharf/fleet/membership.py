"""Membership: which instances live, from their own heartbeats and rumours of them.

The scheme follows SWIM (Das, Gupta and Motivala, 2002): each process probes one peer
in each period, in shuffled rounds; a failed probe makes a suspicion, which spreads
as a rumour and turns into death unless the suspected instance refutes it with a
higher incarnation. The cost for a process is constant in the size of the fleet. The
platform's list says who may be a member at all; it is never written.
"""

import math
import random
from dataclasses import replace

from currantwharf.fleet.instance_list import EMPTY_LIST, InstanceList
from currantwharf.fleet.member import Member, MemberState
from currantwharf.wire import Ack, Heartbeat, MemberUpdate

SUSPICION_S = 2.0  # seconds from the first suspicion to death
NEWS_PER_HEARTBEAT = 12  # rumours
NEWS_SENDS_FACTOR = 3  # sends of a rumour, times log2 of the fleet's size


class Membership:
    """Hold the beliefs of one process about all the others.

    Every method takes `now`, seconds of the monotonic clock. `change_count` counts the
    changes that matter to the choice of owners, so that others can cache by it.
    """

    def __init__(self, instance: str, boot_id: str, rng: random.Random) -> None:
        self.instance = instance
        self.boot_id = boot_id
        self.incarnation = 0
        self.instance_list = EMPTY_LIST
        self.members: dict[str, Member] = {}
        self.change_count = 0
        self._rng = rng
        self._round: list[str] = []
        self._news: dict[str, int] = {}
        self._suspected: set[str] = set()

    def adopt_list(self, listed: InstanceList, now: float) -> bool:
        """Adopt a list with a higher revision; return whether it was adopted."""
        if listed.revision <= self.instance_list.revision:
            return False
        self.instance_list = listed
        for name in [name for name in self.members if name not in listed.instances]:
            del self.members[name]
            self._news.pop(name, None)
            self._suspected.discard(name)
        self._round.clear()
        self.change_count += 1
        return True

    def peers(self) -> list[str]:
        """Return the listed instances other than this one."""
        return [name for name in self.instance_list.instances if name != self.instance]

    def record_ack(self, standing: Ack, now: float) -> None:
        """Note that an instance has spoken for itself."""
        name = standing.instance
        if name == self.instance:
            return
        known = self.members.get(name)
        if known is not None and known.boot_id == standing.boot_id:
            incarnation = max(known.incarnation, standing.incarnation)
        else:
            incarnation = standing.incarnation
        member = Member(
            standing.boot_id,
            incarnation,
            MemberState.ALIVE,
            standing.ready,
            standing.stopping,
            now,
            now,
        )
        self._replace(name, known, member)

    def suspect(self, name: str, now: float) -> None:
        """Note that a probe of `name` has failed."""
        known = self.members.get(name)
        if known is None or known.state not in _PRESUMED_ALIVE:
            return
        suspected = replace(known, state=MemberState.SUSPECTED, changed_at=now)
        self._replace(name, known, suspected)

    def mark_gone(self, name: str, now: float) -> None:
        """Note that nothing listens at the address of `name`."""
        known = self.members.get(name)
        if name not in self.instance_list.instances:
            return
        if known is None:
            gone = Member("", 0, MemberState.GONE, False, False, now)
        else:
            gone = replace(known, state=MemberState.GONE, changed_at=now)
        self._replace(name, known, gone)

    def is_gone(self, name: str) -> bool:
        """Return whether no process runs at the address of `name`."""
        member = self.members.get(name)
        return member is not None and member.state is MemberState.GONE

    def is_suspected(self, name: str) -> bool:
        """Return whether the last probe of `name` failed without a refusal."""
        return name in self._suspected

    def has_suspicions(self) -> bool:
        """Return whether any member is suspected now."""
        return bool(self._suspected)

    def apply_updates(self, news: tuple[MemberUpdate, ...], now: float) -> None:
        """Take rumours in; a rumour of this process itself is refuted."""
        for rumour in news:
            if rumour.instance == self.instance:
                self._refute(rumour)
            elif self._is_news(rumour):
                known = self.members.get(rumour.instance)
                self._replace(rumour.instance, known, _member_of(rumour, known, now))

    def tick(self, now: float) -> str | None:
        """Turn old suspicions into deaths and return the peer to probe, if any."""
        for name in sorted(self._suspected):
            member = self.members[name]
            if now - member.changed_at >= SUSPICION_S:
                dead = replace(member, state=MemberState.DEAD, changed_at=now)
                self._replace(name, member, dead)
        if not self._round:
            self._round = self.peers()
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def heartbeat(self, standing: Ack) -> Heartbeat:
        """Return a heartbeat with the rumours that were sent least often."""
        chosen = sorted(self._news, key=lambda name: self._news[name])
        news = []
        for name in chosen[:NEWS_PER_HEARTBEAT]:
            self._count_send(name)
            member = self.members.get(name)
            if member is not None:
                news.append(_rumour_of(name, member))
        return Heartbeat(standing, tuple(news))

    def export_updates(self) -> tuple[MemberUpdate, ...]:
        """Return all beliefs, for an instance that joins."""
        return tuple(_rumour_of(name, m) for name, m in self.members.items())

    def usable(self, name: str) -> bool:
        """Return whether `name` is a live, ready instance that is not stopping."""
        listed = self.instance_list.instances.get(name)
        member = self.members.get(name)
        return (
            listed is not None
            and listed.state == "live"
            and member is not None
            and member.state in (MemberState.ALIVE, MemberState.SUSPECTED)
            and member.ready
            and not member.stopping
        )

    def _refute(self, rumour: MemberUpdate) -> None:
        doubted = rumour.state != MemberState.ALIVE
        if rumour.boot_id == self.boot_id and doubted:
            self.incarnation = max(self.incarnation, rumour.incarnation) + 1

    def _is_news(self, rumour: MemberUpdate) -> bool:
        if rumour.instance not in self.instance_list.instances:
            return False
        known = self.members.get(rumour.instance)
        if known is None:
            return True
        if known.boot_id != rumour.boot_id:
            # Another boot counts only when nobody here has heard the known one.
            return known.state in _LOST and rumour.state == MemberState.ALIVE
        if rumour.incarnation != known.incarnation:
            return rumour.incarnation > known.incarnation
        if _SEVERITY[rumour.state] != _SEVERITY[known.state]:
            return _SEVERITY[rumour.state] > _SEVERITY[known.state]
        return rumour.stopping and not known.stopping

    def _replace(self, name: str, known: Member | None, member: Member) -> None:
        if known is not None and _same_standing(known, member):
            member = replace(member, changed_at=known.changed_at)
        else:
            self._news[name] = 0
            self.change_count += 1
        self.members[name] = member
        if member.state is MemberState.SUSPECTED:
            self._suspected.add(name)
        else:
            self._suspected.discard(name)

    def _count_send(self, name: str) -> None:
        self._news[name] += 1
        limit = NEWS_SENDS_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        if self._news[name] >= limit:
            del self._news[name]


# A silent address may be one at which a process has started behind a partition.
_PRESUMED_ALIVE = (MemberState.ALIVE, MemberState.GONE)
_LOST = (MemberState.DEAD, MemberState.GONE)
_SEVERITY: dict[str, int] = {"alive": 0, "suspected": 1, "dead": 2, "gone": 3}


def _same_standing(one: Member, other: Member) -> bool:
    return (one.boot_id, one.state, one.ready, one.stopping) == (
        other.boot_id,
        other.state,
        other.ready,
        other.stopping,
    )


def _rumour_of(name: str, member: Member) -> MemberUpdate:
    return MemberUpdate(
        name,
        member.boot_id,
        member.incarnation,
        member.state.value,
        member.ready,
        member.stopping,
    )


def _member_of(rumour: MemberUpdate, known: Member | None, now: float) -> Member:
    return Member(
        rumour.boot_id,
        rumour.incarnation,
        MemberState(rumour.state),
        rumour.ready,
        rumour.stopping,
        now,
        known.heard_at if known is not None else None,
    )
