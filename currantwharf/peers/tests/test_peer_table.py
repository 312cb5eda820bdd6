import random
import unittest

from currantwharf.peers.hello import (
    Hello,
    InstanceCount,
    MemberSummary,
    decode_hello,
    encode_hello,
)
from currantwharf.peers.instance_counts import COUNT_TTL_S
from currantwharf.peers.peer_table import (
    LIVENESS_TIMEOUT_S,
    READER_TIMEOUT_S,
    PeerTable,
)


def make_hello(name, data_centre="a", can_read=True, members=(), counts=(), cores=1.0):
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


def make_fleet(data_centres, instances):
    """Return the empty tables of all instances of a fleet, by instance name."""
    tables = {}
    for data_centre in data_centres:
        for index in range(instances):
            name = f"{data_centre}{index}"
            tables[name] = PeerTable(name, data_centre, random.Random(name))
    return tables


def hello_from(table, data_centre, now):
    members = table.choose_member_summaries(data_centre, now)
    counts = table.list_counts(now)
    return make_hello(table.name, table.name[0], members=members, counts=counts)


def gossip(tables, rounds):
    """Run gossip rounds: each instance sends one local hello, a few a remote one."""
    rng = random.Random(7)
    seed = next(iter(tables))
    for round_number in range(rounds):
        now = round_number * 0.5
        for name, table in tables.items():
            is_remote = rng.random() < 1 / table.data_centre_size(now)
            targets = [
                peer.name for peer in table.choose_targets(now, 1, int(is_remote))
            ]
            if not targets or round_number % 12 == 0:
                targets.append(seed)
            for other in targets:
                if other == name:
                    continue
                is_new = tables[other].record_hello(
                    hello_from(table, other[0], now), now
                )
                if is_new or other == seed:
                    table.record_hello(hello_from(tables[other], name[0], now), now)


class PeerTableTests(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable("me", "a", random.Random(1))

    def test_fleet_size_includes_silent_instances_for_a_while(self):
        for name in "xyz":
            self.table.record_hello(make_hello(name), 0.0)
        self.assertEqual(self.table.fleet_size(0.0), 4)
        self.assertEqual(self.table.fleet_size(LIVENESS_TIMEOUT_S + 1), 4)
        self.assertEqual(self.table.fleet_size(LIVENESS_TIMEOUT_S + COUNT_TTL_S + 1), 1)

    def test_instances_of_a_large_fleet_estimate_its_size(self):
        tables = make_fleet("abcdef", 40)
        gossip(tables, 60)
        sizes = sorted(table.fleet_size(30.0) for table in tables.values())
        self.assertGreater(sizes[0], 0.95 * 240)
        self.assertLessEqual(sizes[-1], 240)

    def test_budget_shares_of_a_fleet_add_up_to_one(self):
        for instances in (3, 15):
            with self.subTest(instances=instances):
                tables = make_fleet("abc", instances)
                for name in tables:
                    for other in tables:
                        tables[name].record_hello(make_hello(other, other[0]), 0.0)
                total = sum(table.budget_share(0.0, 1.0) for table in tables.values())
                self.assertAlmostEqual(total, 1.0)

    def test_hubs_have_larger_budget_shares_than_others(self):
        tables = make_fleet("a", 15)
        for other in tables:
            tables["a0"].record_hello(make_hello(other, cores=0.5), 0.0)
        as_hub = tables["a0"].budget_share(0.0, cores=2.0)
        self.assertGreater(as_hub, 5 * tables["a0"].budget_share(0.0, cores=0.1))

    def test_hello_summarizes_members_of_the_recipients_data_centre(self):
        # A new instance learns about its own data centre from a seed in any other one.
        for index in range(5):
            self.table.record_hello(make_hello(f"a{index}"), 0.0)
            self.table.record_hello(make_hello(f"b{index}", "b"), 0.0)
        data_centres = {
            member.data_centre
            for member in self.table.choose_member_summaries("b", 0.0)
        }
        self.assertEqual(data_centres, {"b"})

    def test_reported_count_of_a_silent_data_centre_expires(self):
        counts = (InstanceCount("b", 12, 2.0), InstanceCount("a", 9, 0.0))
        self.table.record_hello(make_hello("x", counts=counts), 10.0)
        self.assertEqual(self.table.fleet_size(10.0), 21)
        self.assertEqual(self.table.fleet_size(10.0 + COUNT_TTL_S - 3), 21)
        self.assertEqual(self.table.fleet_size(12.0 + COUNT_TTL_S), 1)
        self.table.record_hello(
            make_hello("y", counts=(InstanceCount("b", 50, 20.0),)), 11.0
        )
        self.assertEqual(self.table.fleet_size(11.0), 21)

    def test_relayed_summary_expires_by_its_age(self):
        members = (
            MemberSummary("far", "h", "a", 5.0),
            MemberSummary("me", "h", "a", 0.0),
        )
        self.table.record_hello(make_hello("x", members=members), 10.0)
        self.assertEqual(self.table.fleet_size(10.0), 3)
        self.assertEqual(self.table.fleet_size(10.0 + LIVENESS_TIMEOUT_S), 3)

    def test_all_instances_elect_the_same_reader(self):
        names = ["me", "x", "y", "z"]
        readers = set()
        for name in names:
            table = PeerTable(name, "a", random.Random(2))
            for other in names:
                table.record_hello(make_hello(other), 0.0)
            readers.add(table.choose_reader(0.0, True))
        self.assertEqual(len(readers), 1)

    def test_failing_or_silent_reader_is_replaced(self):
        for name in "xyz":
            self.table.record_hello(make_hello(name), 0.0)
        reader = self.table.choose_reader(0.0, can_read=False)
        self.assertNotEqual(reader, "me")
        self.table.record_hello(make_hello(reader, can_read=False), 0.1)
        second = self.table.choose_reader(0.1, can_read=False)
        self.assertNotIn(second, ("me", reader))
        self.assertEqual(
            self.table.choose_reader(READER_TIMEOUT_S + 1, can_read=False), "me"
        )

    def test_each_data_centre_has_a_reader_of_its_own(self):
        for name in "xyz":
            self.table.record_hello(make_hello(name, "b"), 0.0)
        self.assertEqual(self.table.choose_reader(0.0, True), "me")

    def test_targets_and_summaries_are_bounded(self):
        for index in range(50):
            self.table.record_hello(make_hello(f"p{index}", "ab"[index % 2]), 0.0)
        targets = self.table.choose_targets(0.0, 1, 2)
        self.assertEqual(sorted(peer.data_centre for peer in targets), ["a", "b", "b"])
        self.assertLessEqual(len(self.table.choose_member_summaries("a", 0.0)), 4)

    def test_hello_is_decoded_as_encoded_and_garbage_is_refused(self):
        sent = make_hello("x", members=(MemberSummary("y", "h", "b", 0.5),))
        self.assertEqual(decode_hello(encode_hello(sent)), sent)
        self.assertIsNone(decode_hello(b"\x01\x02"))
        self.assertIsNone(decode_hello(encode_hello(sent)[:-3]))

    def test_relayed_summary_reports_a_store_failure(self):
        for name in "xyz":
            self.table.record_hello(make_hello(name), 0.0)
        reader = self.table.choose_reader(0.0, can_read=False)
        other = next(name for name in "xyz" if name != reader)
        members = (MemberSummary(reader, "h", "a", 0.1, False),)
        self.table.record_hello(make_hello(other, members=members), 1.0)
        self.assertNotEqual(self.table.choose_reader(1.0, can_read=False), reader)

    def test_store_failure_of_any_instance_is_remembered_for_a_while(self):
        self.assertFalse(self.table.has_recent_store_failure(0.0))
        members = (MemberSummary("y", "h", "b", 1.0, False),)
        self.table.record_hello(make_hello("x", members=members), 5.0)
        self.assertTrue(self.table.has_recent_store_failure(6.0))
        self.assertFalse(self.table.has_recent_store_failure(17.0))
