import random
import unittest

from currantwharf.peers.centre_counts import COUNT_TTL_S
from currantwharf.peers.hello import (
    Hello,
    InstanceCount,
    MemberNews,
    decode_hello,
    encode_hello,
)
from currantwharf.peers.peer_table import LIVE_S, READER_S, PeerTable


def hello(name, data_centre="a", can_read=True, members=(), counts=(), cores=1.0):
    return Hello(
        name,
        "boot",
        f"host-{name}",
        data_centre,
        True,
        can_read,
        5,
        members,
        cores=cores,
        counts=counts,
    )


def fleet(centres, instances):
    """Return tables of a fleet by name, with those that nobody has told anything."""
    tables = {}
    for centre in centres:
        for at in range(instances):
            name = f"{centre}{at}"
            tables[name] = PeerTable(name, centre, random.Random(name))
    return tables


def hello_of(table, data_centre, now):
    members = table.member_summaries(data_centre, now)
    counts = table.counts(now)
    return hello(table.name, table.name[0], members=members, counts=counts)


def gossip(tables, rounds):
    """Let each instance tell one near by and a few of them another data centre."""
    rng = random.Random(7)
    first = next(iter(tables))
    for at in range(rounds):
        now = at * 0.5
        for name, table in tables.items():
            far = rng.random() < 1 / table.near_size(now)
            targets = [peer.name for peer in table.targets(now, 1, int(far))]
            if not targets or at % 12 == 0:
                targets.append(first)
            for other in targets:
                if other == name:
                    continue
                is_new = tables[other].record_hello(hello_of(table, other[0], now), now)
                if is_new or other == first:
                    table.record_hello(hello_of(tables[other], name[0], now), now)


class PeerTableTests(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable("me", "a", random.Random(1))

    def test_size_remembers_the_largest_fleet_for_a_while(self):
        for name in "xyz":
            self.table.record_hello(hello(name), 0.0)
        self.assertEqual(self.table.fleet_size(0.0), 4)
        self.assertEqual(self.table.fleet_size(LIVE_S + 1), 4)
        self.assertEqual(self.table.fleet_size(LIVE_S + COUNT_TTL_S + 1), 1)

    def test_instances_of_a_large_fleet_know_how_many_there_are(self):
        tables = fleet("abcdef", 40)
        gossip(tables, 60)
        sizes = sorted(table.fleet_size(30.0) for table in tables.values())
        self.assertGreater(sizes[0], 0.95 * 240)
        self.assertLessEqual(sizes[-1], 240)

    def test_shares_of_a_fleet_add_up_to_one(self):
        for instances in (3, 15):
            with self.subTest(instances=instances):
                tables = fleet("abc", instances)
                for name in tables:
                    for other in tables:
                        tables[name].record_hello(hello(other, other[0]), 0.0)
                total = sum(table.budget_share(0.0, 1.0) for table in tables.values())
                self.assertAlmostEqual(total, 1.0)

    def test_hubs_have_more_of_the_budgets_than_others(self):
        tables = fleet("a", 15)
        for other in tables:
            tables["a0"].record_hello(hello(other, cores=0.5), 0.0)
        as_hub = tables["a0"].budget_share(0.0, cores=2.0)
        self.assertGreater(as_hub, 5 * tables["a0"].budget_share(0.0, cores=0.1))

    def test_newcomer_hears_of_its_own_data_centre_from_any_other(self):
        for at in range(5):
            self.table.record_hello(hello(f"a{at}"), 0.0)
            self.table.record_hello(hello(f"b{at}", "b"), 0.0)
        told = {
            member_summaries.data_centre
            for member_summaries in self.table.member_summaries("b", 0.0)
        }
        self.assertEqual(told, {"b"})

    def test_count_of_a_data_centre_that_is_not_heard_any_more(self):
        told = (InstanceCount("b", 12, 2.0), InstanceCount("a", 9, 0.0))
        self.table.record_hello(hello("x", counts=told), 10.0)
        self.assertEqual(self.table.fleet_size(10.0), 21)
        self.assertEqual(self.table.fleet_size(10.0 + COUNT_TTL_S - 3), 21)
        self.assertEqual(self.table.fleet_size(12.0 + COUNT_TTL_S), 1)
        self.table.record_hello(
            hello("y", counts=(InstanceCount("b", 50, 20.0),)), 11.0
        )
        self.assertEqual(self.table.fleet_size(11.0), 21)

    def test_hearsay_counts_by_its_age(self):
        members = (MemberNews("far", "h", "a", 5.0), MemberNews("me", "h", "a", 0.0))
        self.table.record_hello(hello("x", members=members), 10.0)
        self.assertEqual(self.table.fleet_size(10.0), 3)
        self.assertEqual(self.table.fleet_size(10.0 + LIVE_S), 3)

    def test_all_instances_choose_the_same_reader(self):
        names = ["me", "x", "y", "z"]
        readers = set()
        for name in names:
            table = PeerTable(name, "a", random.Random(2))
            for other in names:
                table.record_hello(hello(other), 0.0)
            readers.add(table.reader(0.0, True))
        self.assertEqual(len(readers), 1)

    def test_reader_that_the_store_fails_or_that_is_silent_is_replaced(self):
        for name in "xyz":
            self.table.record_hello(hello(name), 0.0)
        reader = self.table.reader(0.0, can_read=False)
        self.assertNotEqual(reader, "me")
        self.table.record_hello(hello(reader, can_read=False), 0.1)
        second = self.table.reader(0.1, can_read=False)
        self.assertNotIn(second, ("me", reader))
        self.assertEqual(self.table.reader(READER_S + 1, can_read=False), "me")

    def test_other_data_centres_have_readers_of_their_own(self):
        for name in "xyz":
            self.table.record_hello(hello(name, "b"), 0.0)
        self.assertEqual(self.table.reader(0.0, True), "me")

    def test_targets_are_bounded(self):
        for at in range(50):
            self.table.record_hello(hello(f"p{at}", "ab"[at % 2]), 0.0)
        targets = self.table.targets(0.0, 1, 2)
        self.assertEqual(sorted(peer.data_centre for peer in targets), ["a", "b", "b"])
        self.assertLessEqual(len(self.table.member_summaries("a", 0.0)), 4)

    def test_datagram(self):
        sent = hello("x", members=(MemberNews("y", "h", "b", 0.5),))
        self.assertEqual(decode_hello(encode_hello(sent)), sent)
        self.assertIsNone(decode_hello(b"\x01\x02"))
        self.assertIsNone(decode_hello(encode_hello(sent)[:-3]))

    def test_hearsay_tells_whom_the_store_fails(self):
        for name in "xyz":
            self.table.record_hello(hello(name), 0.0)
        reader = self.table.reader(0.0, can_read=False)
        other = next(name for name in "xyz" if name != reader)
        member_summaries = (MemberNews(reader, "h", "a", 0.1, False),)
        self.table.record_hello(hello(other, members=member_summaries), 1.0)
        self.assertNotEqual(self.table.reader(1.0, can_read=False), reader)

    def test_trouble_of_any_instance_is_remembered_for_a_while(self):
        self.assertFalse(self.table.has_recent_store_failure(0.0))
        member_summaries = (MemberNews("y", "h", "b", 1.0, False),)
        self.table.record_hello(hello("x", members=member_summaries), 5.0)
        self.assertTrue(self.table.has_recent_store_failure(6.0))
        self.assertFalse(self.table.has_recent_store_failure(17.0))
