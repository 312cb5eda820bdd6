import random
import unittest

from currantwharf.fleet import InstanceList, ListedInstance, Membership
from currantwharf.fleet.member import MemberState
from currantwharf.fleet.membership import NEWS_PER_HEARTBEAT, SUSPICION_S
from currantwharf.tests.builders import make_ack, make_member_update


def make_membership(size: int = 4) -> Membership:
    membership = Membership("i0", "b0", random.Random(1))
    names = [f"i{number}" for number in range(size)]
    listed = {name: ListedInstance(name, "taipei") for name in names}
    membership.adopt_list(InstanceList(1, listed), 0.0)
    return membership


class MembershipTests(unittest.TestCase):
    def test_older_list_is_refused(self) -> None:
        membership = make_membership()
        self.assertFalse(membership.adopt_list(InstanceList(1, {}), 1.0))
        self.assertEqual(len(membership.instance_list.instances), 4)

    def test_suspicion_comes_before_death(self) -> None:
        membership = make_membership()
        membership.record_ack(make_ack("i1"), 1.0)
        membership.suspect("i1", 2.0)
        self.assertTrue(membership.usable("i1"))
        membership.tick(2.0 + SUSPICION_S / 2)
        self.assertTrue(membership.usable("i1"))
        membership.tick(2.0 + SUSPICION_S)
        self.assertFalse(membership.usable("i1"))

    def test_refused_connection_needs_no_suspicion(self) -> None:
        membership = make_membership()
        membership.record_ack(make_ack("i1"), 1.0)
        membership.mark_gone("i1", 1.1)
        self.assertTrue(membership.is_gone("i1"))
        membership.record_ack(make_ack("i1", "another-boot"), 1.2)
        self.assertTrue(membership.usable("i1"))

    def test_silence_at_a_gone_address_is_a_new_doubt(self) -> None:
        membership = make_membership()
        membership.mark_gone("i1", 1.0)
        membership.suspect("i1", 2.0)
        self.assertFalse(membership.is_gone("i1"))

    def test_rumour_of_oneself_is_refuted(self) -> None:
        membership = make_membership()
        rumour = make_member_update("i0", "suspected", incarnation=4)
        membership.apply_updates((rumour,), 1.0)
        self.assertEqual(membership.incarnation, 0, "another boot was meant")
        membership.boot_id = "b1"
        membership.apply_updates((rumour,), 1.0)
        self.assertEqual(membership.incarnation, 5)

    def test_refutation_outweighs_older_suspicion(self) -> None:
        membership = make_membership()
        membership.apply_updates((make_member_update("i1", "suspected", 1),), 1.0)
        membership.apply_updates((make_member_update("i1", "alive", 1),), 1.0)
        self.assertIs(membership.members["i1"].state, MemberState.SUSPECTED)
        membership.apply_updates((make_member_update("i1", "alive", 2),), 1.0)
        self.assertIs(membership.members["i1"].state, MemberState.ALIVE)

    def test_restarted_instance_is_another(self) -> None:
        membership = make_membership()
        membership.record_ack(make_ack("i1", "old", incarnation=9), 1.0)
        membership.record_ack(make_ack("i1", "new", ready=False), 2.0)
        self.assertFalse(membership.usable("i1"))
        stale = make_member_update("i1", "alive", 20)
        membership.apply_updates((stale,), 3.0)
        self.assertEqual(membership.members["i1"].boot_id, "new")

    def test_unlisted_instances_are_no_members(self) -> None:
        membership = make_membership()
        membership.apply_updates((make_member_update("stranger", "alive"),), 1.0)
        self.assertNotIn("stranger", membership.members)

    def test_each_round_probes_every_peer_once(self) -> None:
        membership = make_membership(20)
        probed = [membership.tick(float(second)) for second in range(19)]
        self.assertEqual(len(set(probed)), 19)

    def test_heartbeat_is_bounded_and_news_die_out(self) -> None:
        membership = make_membership(300)
        for number in range(1, 300):
            membership.record_ack(make_ack(f"i{number}"), 1.0)
        sizes = []
        for _ in range(2000):
            sizes.append(len(membership.heartbeat(make_ack("i0")).news))
        self.assertLessEqual(max(sizes), NEWS_PER_HEARTBEAT)
        self.assertEqual(sizes[-1], 0)
