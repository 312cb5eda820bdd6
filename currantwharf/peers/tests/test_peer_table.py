import random
import unittest

from currantwharf.peers.hello import Hello, MemberNews, decode_hello, encode_hello
from currantwharf.peers.peer_table import LIVE_S, PEAK_S, READER_S, PeerTable


def hello(name, data_centre="a", can_read=True, members=()):
    return Hello(name, "boot", f"host-{name}", data_centre, True, can_read, 5, members)


class PeerTableTests(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable("me", "a", random.Random(1))

    def test_size_remembers_the_largest_fleet_for_a_while(self):
        for name in "xyz":
            self.table.take(hello(name), 0.0)
        self.assertEqual(self.table.size(0.0), 4)
        self.assertEqual(self.table.size(LIVE_S + 1), 4)
        self.assertEqual(self.table.size(LIVE_S + PEAK_S + 1), 1)

    def test_hearsay_counts_by_its_age(self):
        members = (MemberNews("far", "h", "a", 5.0), MemberNews("me", "h", "a", 0.0))
        self.table.take(hello("x", members=members), 10.0)
        self.assertEqual(self.table.size(10.0), 3)
        self.assertEqual(self.table.size(10.0 + LIVE_S), 3)

    def test_all_instances_choose_the_same_reader(self):
        names = ["me", "x", "y", "z"]
        readers = set()
        for name in names:
            table = PeerTable(name, "a", random.Random(2))
            for other in names:
                table.take(hello(other), 0.0)
            readers.add(table.reader(0.0, True))
        self.assertEqual(len(readers), 1)

    def test_reader_that_the_store_fails_or_that_is_silent_is_replaced(self):
        for name in "xyz":
            self.table.take(hello(name), 0.0)
        reader = self.table.reader(0.0, can_read=False)
        self.assertNotEqual(reader, "me")
        self.table.take(hello(reader, can_read=False), 0.1)
        second = self.table.reader(0.1, can_read=False)
        self.assertNotIn(second, ("me", reader))
        self.assertEqual(self.table.reader(READER_S + 1, can_read=False), "me")

    def test_other_data_centres_have_readers_of_their_own(self):
        for name in "xyz":
            self.table.take(hello(name, "b"), 0.0)
        self.assertEqual(self.table.reader(0.0, True), "me")

    def test_targets_are_bounded(self):
        for at in range(50):
            self.table.take(hello(f"p{at}", "ab"[at % 2]), 0.0)
        targets = self.table.targets(0.0, 1, 2)
        self.assertEqual(sorted(peer.data_centre for peer in targets), ["a", "b", "b"])
        self.assertLessEqual(len(self.table.news(0.0)), 4)

    def test_datagram(self):
        sent = hello("x", members=(MemberNews("y", "h", "b", 0.5),))
        self.assertEqual(decode_hello(encode_hello(sent)), sent)
        self.assertIsNone(decode_hello(b"\x01\x02"))
        self.assertIsNone(decode_hello(encode_hello(sent)[:-3]))

    def test_hearsay_tells_whom_the_store_fails(self):
        for name in "xyz":
            self.table.take(hello(name), 0.0)
        reader = self.table.reader(0.0, can_read=False)
        other = next(name for name in "xyz" if name != reader)
        news = (MemberNews(reader, "h", "a", 0.1, False),)
        self.table.take(hello(other, members=news), 1.0)
        self.assertNotEqual(self.table.reader(1.0, can_read=False), reader)

    def test_trouble_of_any_instance_is_remembered_for_a_while(self):
        self.assertFalse(self.table.is_store_in_trouble(0.0))
        news = (MemberNews("y", "h", "b", 1.0, False),)
        self.table.take(hello("x", members=news), 5.0)
        self.assertTrue(self.table.is_store_in_trouble(6.0))
        self.assertFalse(self.table.is_store_in_trouble(17.0))
