import random
import unittest

from currantwharf.fleet import InstanceList, ListedInstance, Membership
from currantwharf.fleet.member import MemberState
from currantwharf.fleet.membership import MAX_UPDATES_PER_HEARTBEAT, SUSPICION_TIMEOUT_S
from currantwharf.tests.builders import make_ack, make_member_update


def make_membership(size: int = 4) -> Membership:
    membership = Membership("i0", "b0", random.Random(1))
    names = [f"i{number}" for number in range(size)]
    listed = {name: ListedInstance(name, "taipei") for name in names}
    membership.adopt_list(InstanceList(1, listed), 0.0)
    return membership


class MembershipTests(unittest.TestCase):
    def test_list_that_is_not_newer_is_rejected(self) -> None:
        membership = make_membership()
        self.assertFalse(membership.adopt_list(InstanceList(1, {}), 1.0))
        self.assertEqual(len(membership.instance_list.instances), 4)

    def test_member_is_suspected_before_it_is_declared_dead(self) -> None:
        membership = make_membership()
        membership.record_ack(make_ack("i1"), 1.0)
        membership.suspect("i1", 2.0)
        self.assertTrue(membership.is_usable("i1"))
        membership.tick(2.0 + SUSPICION_TIMEOUT_S / 2)
        self.assertTrue(membership.is_usable("i1"))
        membership.tick(2.0 + SUSPICION_TIMEOUT_S)
        self.assertFalse(membership.is_usable("i1"))

    def test_refused_connection_marks_a_member_gone_at_once(self) -> None:
        membership = make_membership()
        membership.record_ack(make_ack("i1"), 1.0)
        membership.mark_gone("i1", 1.1)
        self.assertTrue(membership.is_gone("i1"))
        membership.record_ack(make_ack("i1", "another-boot"), 1.2)
        self.assertTrue(membership.is_usable("i1"))

    def test_gone_member_that_is_silent_becomes_suspected(self) -> None:
        membership = make_membership()
        membership.mark_gone("i1", 1.0)
        membership.suspect("i1", 2.0)
        self.assertFalse(membership.is_gone("i1"))

    def test_suspicion_of_this_process_is_refuted(self) -> None:
        membership = make_membership()
        member_update = make_member_update("i0", "suspected", incarnation=4)
        membership.apply_updates((member_update,), 1.0)
        self.assertEqual(membership.incarnation, 0, "the suspicion is of another boot")
        membership.boot_id = "b1"
        membership.apply_updates((member_update,), 1.0)
        self.assertEqual(membership.incarnation, 5)

    def test_refutation_overrides_an_older_suspicion(self) -> None:
        membership = make_membership()
        membership.apply_updates((make_member_update("i1", "suspected", 1),), 1.0)
        membership.apply_updates((make_member_update("i1", "alive", 1),), 1.0)
        self.assertIs(membership.members["i1"].state, MemberState.SUSPECTED)
        membership.apply_updates((make_member_update("i1", "alive", 2),), 1.0)
        self.assertIs(membership.members["i1"].state, MemberState.ALIVE)

    def test_restarted_instance_replaces_the_old_boot(self) -> None:
        membership = make_membership()
        membership.record_ack(make_ack("i1", "old", incarnation=9), 1.0)
        membership.record_ack(make_ack("i1", "new", ready=False), 2.0)
        self.assertFalse(membership.is_usable("i1"))
        stale = make_member_update("i1", "alive", 20)
        membership.apply_updates((stale,), 3.0)
        self.assertEqual(membership.members["i1"].boot_id, "new")

    def test_unlisted_instances_are_not_members(self) -> None:
        membership = make_membership()
        membership.apply_updates((make_member_update("stranger", "alive"),), 1.0)
        self.assertNotIn("stranger", membership.members)

    def test_each_round_probes_every_peer_once(self) -> None:
        membership = make_membership(20)
        probed = [membership.tick(float(second)) for second in range(19)]
        self.assertEqual(len(set(probed)), 19)

    def test_heartbeats_are_bounded_and_updates_stop(self) -> None:
        membership = make_membership(300)
        for number in range(1, 300):
            membership.record_ack(make_ack(f"i{number}"), 1.0)
        sizes = []
        for _ in range(2000):
            sizes.append(len(membership.build_heartbeat(make_ack("i0")).news))
        self.assertLessEqual(max(sizes), MAX_UPDATES_PER_HEARTBEAT)
        self.assertEqual(sizes[-1], 0)
