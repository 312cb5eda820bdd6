import random
import unittest

from currantwharf.fleet import InstanceList, ListedInstance, Membership, OwnerResolver
from currantwharf.tests.builders import CENTRES, make_ack, make_config

CONFIG = make_config()
SERVERS = sorted(CONFIG.servers)


def make_owners(name: str, size: int = 9, heard: bool = True) -> OwnerResolver:
    membership = Membership(name, "b0", random.Random(1))
    listed = {
        f"i{number}": ListedInstance(f"i{number}", CENTRES[number % 3])
        for number in range(size)
    }
    membership.adopt_list(InstanceList(1, listed), 0.0)
    for peer in membership.peers():
        if heard:
            membership.record_ack(make_ack(peer), 1.0)
    owners = OwnerResolver(membership, listed[name].data_centre)
    owners.set_self_usable(True)
    return owners


class OwnersTests(unittest.TestCase):
    def test_all_instances_agree(self) -> None:
        for server in SERVERS:
            found = {make_owners(f"i{n}").find_owner(server, CONFIG) for n in range(9)}
            self.assertEqual(len(found), 1)

    def test_owner_is_in_the_servers_data_centre(self) -> None:
        owners = make_owners("i0")
        for server in SERVERS:
            owner = owners.find_owner(server, CONFIG)
            home = CONFIG.servers[server].data_centre
            self.assertEqual(
                owners._membership.instance_list.instances[owner].data_centre, home
            )

    def test_only_the_servers_of_a_lost_owner_move(self) -> None:
        owners = make_owners("i0")
        before = {server: owners.find_owner(server, CONFIG) for server in SERVERS}
        owners._membership.mark_gone("i4", 2.0)
        for server in SERVERS:
            after = owners.find_owner(server, CONFIG)
            if before[server] != "i4":
                self.assertEqual(after, before[server])
            else:
                self.assertNotEqual(after, "i4")

    def test_minority_takes_nothing_over(self) -> None:
        owners = make_owners("i0")
        before = {server: owners.find_owner(server, CONFIG) for server in SERVERS}
        for name in ("i3", "i6"):
            owners._membership.suspect(name, 2.0)
        owners._membership.tick(10.0)
        self.assertFalse(owners.sees_majority())
        for server in SERVERS:
            self.assertEqual(owners.find_owner(server, CONFIG), before[server])

    def test_others_stand_in_when_nothing_runs_in_a_data_centre(self) -> None:
        owners = make_owners("i0")
        for name in ("i1", "i4", "i7"):
            owners._membership.mark_gone(name, 2.0)
        for server in SERVERS:
            self.assertIsNotNone(owners.find_owner(server, CONFIG))

    def test_silent_data_centre_is_not_stood_in_for(self) -> None:
        owners = make_owners("i0")
        for name in ("i1", "i4", "i7"):
            owners._membership.suspect(name, 2.0)
        owners._membership.tick(10.0)
        for server in SERVERS:
            if CONFIG.servers[server].data_centre == CENTRES[1]:
                self.assertIsNone(owners.find_owner(server, CONFIG))

    def test_smaller_side_of_a_partition_stands_in_for_nobody(self) -> None:
        owners = make_owners("i0")
        for name in ("i1", "i4", "i7"):
            owners._membership.mark_gone(name, 2.0)
        for name in ("i2", "i3", "i5"):
            owners._membership.suspect(name, 2.0)
        owners._membership.tick(10.0)
        for server in SERVERS:
            if CONFIG.servers[server].data_centre == CENTRES[1]:
                self.assertIsNone(owners.find_owner(server, CONFIG))

    def test_stopping_instance_owns_nothing(self) -> None:
        owners = make_owners("i0")
        owners._membership.record_ack(make_ack("i4", stopping=True), 2.0)
        found = {owners.find_owner(server, CONFIG) for server in SERVERS}
        self.assertNotIn("i4", found)
