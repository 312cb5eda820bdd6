import random
import unittest

from currantwharf.fleet import InstanceList, ListedInstance, Membership, OwnerResolver
from currantwharf.tests.builders import CENTRES, make_ack, make_config

CONFIG = make_config()
SERVERS = sorted(CONFIG.servers)


def make_resolver(name: str, size: int = 9, reachable: bool = True) -> OwnerResolver:
    membership = Membership(name, "b0", random.Random(1))
    listed = {
        f"i{number}": ListedInstance(f"i{number}", CENTRES[number % 3])
        for number in range(size)
    }
    membership.adopt_list(InstanceList(1, listed), 0.0)
    for peer in membership.peers():
        if reachable:
            membership.record_ack(make_ack(peer), 1.0)
    resolver = OwnerResolver(membership, listed[name].data_centre)
    resolver.set_self_usable(True)
    return resolver


class OwnerResolverTests(unittest.TestCase):
    def test_all_instances_agree_on_the_owner(self) -> None:
        for server in SERVERS:
            owner_names = {
                make_resolver(f"i{n}").find_owner(server, CONFIG) for n in range(9)
            }
            self.assertEqual(len(owner_names), 1)

    def test_owner_is_in_the_servers_data_centre(self) -> None:
        resolver = make_resolver("i0")
        for server in SERVERS:
            owner = resolver.find_owner(server, CONFIG)
            home = CONFIG.servers[server].data_centre
            self.assertEqual(
                resolver._membership.instance_list.instances[owner].data_centre, home
            )

    def test_only_the_servers_of_a_lost_owner_move(self) -> None:
        resolver = make_resolver("i0")
        before = {server: resolver.find_owner(server, CONFIG) for server in SERVERS}
        resolver._membership.mark_gone("i4", 2.0)
        for server in SERVERS:
            after = resolver.find_owner(server, CONFIG)
            if before[server] != "i4":
                self.assertEqual(after, before[server])
            else:
                self.assertNotEqual(after, "i4")

    def test_minority_takes_over_nothing(self) -> None:
        resolver = make_resolver("i0")
        before = {server: resolver.find_owner(server, CONFIG) for server in SERVERS}
        for name in ("i3", "i6"):
            resolver._membership.suspect(name, 2.0)
        resolver._membership.tick(10.0)
        self.assertFalse(resolver.sees_majority())
        for server in SERVERS:
            self.assertEqual(resolver.find_owner(server, CONFIG), before[server])

    def test_instances_elsewhere_own_servers_of_a_data_centre_without_processes(
        self,
    ) -> None:
        resolver = make_resolver("i0")
        for name in ("i1", "i4", "i7"):
            resolver._membership.mark_gone(name, 2.0)
        for server in SERVERS:
            self.assertIsNotNone(resolver.find_owner(server, CONFIG))

    def test_servers_of_a_silent_data_centre_get_no_other_owner(self) -> None:
        resolver = make_resolver("i0")
        for name in ("i1", "i4", "i7"):
            resolver._membership.suspect(name, 2.0)
        resolver._membership.tick(10.0)
        for server in SERVERS:
            if CONFIG.servers[server].data_centre == CENTRES[1]:
                self.assertIsNone(resolver.find_owner(server, CONFIG))

    def test_minority_side_of_a_partition_takes_over_no_data_centre(self) -> None:
        resolver = make_resolver("i0")
        for name in ("i1", "i4", "i7"):
            resolver._membership.mark_gone(name, 2.0)
        for name in ("i2", "i3", "i5"):
            resolver._membership.suspect(name, 2.0)
        resolver._membership.tick(10.0)
        for server in SERVERS:
            if CONFIG.servers[server].data_centre == CENTRES[1]:
                self.assertIsNone(resolver.find_owner(server, CONFIG))

    def test_stopping_instance_owns_nothing(self) -> None:
        resolver = make_resolver("i0")
        resolver._membership.record_ack(make_ack("i4", stopping=True), 2.0)
        owner_names = {resolver.find_owner(server, CONFIG) for server in SERVERS}
        self.assertNotIn("i4", owner_names)
