"""Membership: which instances are alive, from heartbeats and gossiped updates.

The protocol follows SWIM (Das, Gupta and Motivala, 2002). Each process probes one
peer per period, in shuffled rounds. A failed probe makes the peer suspected. The
suspicion spreads by gossip, and the peer is declared dead unless it refutes the
suspicion with a higher incarnation. The cost per process does not depend on the size
of the fleet. The platform's list determines which instances can be members; this
module never writes it.
"""

import math
import random
from dataclasses import replace

from currantwharf.fleet.instance_list import EMPTY_LIST, InstanceList
from currantwharf.fleet.member import Member, MemberState
from currantwharf.wire import Ack, Heartbeat, MemberUpdate

SUSPICION_TIMEOUT_S = 2.0  # from the first suspicion until a member is declared dead
MAX_UPDATES_PER_HEARTBEAT = 12
UPDATE_SENDS_FACTOR = 3  # sends of one update, times log2 of the fleet size


class Membership:
    """The state of all other members, as seen by one process.

    The argument `now` is the current time in seconds of the monotonic clock.
    `change_count` increases with every change that can affect the choice of owners,
    so it can serve as a cache key.
    """

    def __init__(self, instance: str, boot_id: str, rng: random.Random) -> None:
        self.instance = instance
        self.boot_id = boot_id
        self.incarnation = 0
        self.instance_list = EMPTY_LIST
        self.members: dict[str, Member] = {}
        self.change_count = 0
        self._rng = rng
        self._probe_round: list[str] = []
        self._update_sends_by_member: dict[str, int] = {}
        self._suspected: set[str] = set()

    def adopt_list(self, instance_list: InstanceList, now: float) -> bool:
        """Adopt a list if its revision is higher, and return whether it was adopted."""
        if instance_list.revision <= self.instance_list.revision:
            return False
        self.instance_list = instance_list
        for name in [
            name for name in self.members if name not in instance_list.instances
        ]:
            del self.members[name]
            self._update_sends_by_member.pop(name, None)
            self._suspected.discard(name)
        self._probe_round.clear()
        self.change_count += 1
        return True

    def peers(self) -> list[str]:
        """Return the listed instances other than this one."""
        return [name for name in self.instance_list.instances if name != self.instance]

    def record_ack(self, ack: Ack, now: float) -> None:
        """Record an acknowledgement or heartbeat that came from the instance itself."""
        name = ack.instance
        if name == self.instance:
            return
        current = self.members.get(name)
        if current is not None and current.boot_id == ack.boot_id:
            incarnation = max(current.incarnation, ack.incarnation)
        else:
            incarnation = ack.incarnation
        member = Member(
            ack.boot_id,
            incarnation,
            MemberState.ALIVE,
            ack.ready,
            ack.stopping,
            now,
            now,
        )
        self._replace(name, current, member)

    def suspect(self, name: str, now: float) -> None:
        """Mark `name` as suspected after a failed probe."""
        current = self.members.get(name)
        if current is None or current.state not in _SUSPECTABLE:
            return
        suspected = replace(current, state=MemberState.SUSPECTED, changed_at=now)
        self._replace(name, current, suspected)

    def mark_gone(self, name: str, now: float) -> None:
        """Mark `name` as gone because no process listens at its address."""
        current = self.members.get(name)
        if name not in self.instance_list.instances:
            return
        if current is None:
            gone = Member("", 0, MemberState.GONE, False, False, now)
        else:
            gone = replace(current, state=MemberState.GONE, changed_at=now)
        self._replace(name, current, gone)

    def is_gone(self, name: str) -> bool:
        """Return whether no process listens at the address of `name`."""
        member = self.members.get(name)
        return member is not None and member.state is MemberState.GONE

    def is_suspected(self, name: str) -> bool:
        """Return whether `name` is suspected after a probe without an answer."""
        return name in self._suspected

    def has_suspicions(self) -> bool:
        """Return whether any member is suspected."""
        return bool(self._suspected)

    def apply_updates(self, updates: tuple[MemberUpdate, ...], now: float) -> None:
        """Apply updates from other members, and refute suspicions of this process."""
        for member_update in updates:
            if member_update.instance == self.instance:
                self._refute(member_update)
            elif self._supersedes(member_update):
                current = self.members.get(member_update.instance)
                self._replace(
                    member_update.instance,
                    current,
                    _make_member(member_update, current, now),
                )

    def tick(self, now: float) -> str | None:
        """Declare members dead whose suspicion has timed out; return the peer to probe.

        None means that there is no peer.
        """
        for name in sorted(self._suspected):
            member = self.members[name]
            if now - member.changed_at >= SUSPICION_TIMEOUT_S:
                dead = replace(member, state=MemberState.DEAD, changed_at=now)
                self._replace(name, member, dead)
        if not self._probe_round:
            self._probe_round = self.peers()
            self._rng.shuffle(self._probe_round)
        return self._probe_round.pop() if self._probe_round else None

    def build_heartbeat(self, ack: Ack) -> Heartbeat:
        """Return a heartbeat with the updates that were sent least often."""
        names = sorted(
            self._update_sends_by_member,
            key=lambda name: self._update_sends_by_member[name],
        )
        updates = []
        for name in names[:MAX_UPDATES_PER_HEARTBEAT]:
            self._count_update_send(name)
            member = self.members.get(name)
            if member is not None:
                updates.append(_make_update(name, member))
        return Heartbeat(ack, tuple(updates))

    def export_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the state of all members as updates, for an instance that joins."""
        return tuple(_make_update(name, m) for name, m in self.members.items())

    def is_usable(self, name: str) -> bool:
        """Return whether `name` is listed as live, not dead or gone, and ready.

        A member that is stopping is not usable.
        """
        listed_instance = self.instance_list.instances.get(name)
        member = self.members.get(name)
        return (
            listed_instance is not None
            and listed_instance.state == "live"
            and member is not None
            and member.state in (MemberState.ALIVE, MemberState.SUSPECTED)
            and member.ready
            and not member.stopping
        )

    def _refute(self, member_update: MemberUpdate) -> None:
        is_doubted = member_update.state != MemberState.ALIVE
        if member_update.boot_id == self.boot_id and is_doubted:
            self.incarnation = max(self.incarnation, member_update.incarnation) + 1

    def _supersedes(self, member_update: MemberUpdate) -> bool:
        if member_update.instance not in self.instance_list.instances:
            return False
        current = self.members.get(member_update.instance)
        if current is None:
            return True
        if current.boot_id != member_update.boot_id:
            # Another boot is accepted only if the known one is dead or gone.
            return (
                current.state in _PRESUMED_DEAD
                and member_update.state == MemberState.ALIVE
            )
        if member_update.incarnation != current.incarnation:
            return member_update.incarnation > current.incarnation
        if _SEVERITY[member_update.state] != _SEVERITY[current.state]:
            return _SEVERITY[member_update.state] > _SEVERITY[current.state]
        return member_update.stopping and not current.stopping

    def _replace(self, name: str, current: Member | None, member: Member) -> None:
        if current is not None and _has_same_state(current, member):
            member = replace(member, changed_at=current.changed_at)
        else:
            self._update_sends_by_member[name] = 0
            self.change_count += 1
        self.members[name] = member
        if member.state is MemberState.SUSPECTED:
            self._suspected.add(name)
        else:
            self._suspected.discard(name)

    def _count_update_send(self, name: str) -> None:
        self._update_sends_by_member[name] += 1
        max_sends = UPDATE_SENDS_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        if self._update_sends_by_member[name] >= max_sends:
            del self._update_sends_by_member[name]


# A gone member can become suspected, since a process may have started at its address
# behind a partition.
_SUSPECTABLE = (MemberState.ALIVE, MemberState.GONE)
_PRESUMED_DEAD = (MemberState.DEAD, MemberState.GONE)
_SEVERITY: dict[str, int] = {"alive": 0, "suspected": 1, "dead": 2, "gone": 3}


def _has_same_state(first: Member, second: Member) -> bool:
    return (first.boot_id, first.state, first.ready, first.stopping) == (
        second.boot_id,
        second.state,
        second.ready,
        second.stopping,
    )


def _make_update(name: str, member: Member) -> MemberUpdate:
    return MemberUpdate(
        name,
        member.boot_id,
        member.incarnation,
        member.state.value,
        member.ready,
        member.stopping,
    )


def _make_member(
    member_update: MemberUpdate, current: Member | None, now: float
) -> Member:
    return Member(
        member_update.boot_id,
        member_update.incarnation,
        MemberState(member_update.state),
        member_update.ready,
        member_update.stopping,
        now,
        current.heard_at if current is not None else None,
    )
