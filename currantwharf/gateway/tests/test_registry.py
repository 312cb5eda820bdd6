import unittest

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.server_directory import RETURN_S
from currantwharf.gateway.store_change import DataCentreChanged, ServerRemoved
from currantwharf.tests.gateway_builders import (
    config_change,
    make_chooser,
    make_route,
    server_change,
)


def removal(server, revision, **fields):
    return RevisedChange(revision, ServerRemoved(server, **fields))


class RegistryTests(unittest.TestCase):
    def setUp(self):
        self.chooser = make_chooser([])
        self.registry = Registry(self.chooser.directory, self.chooser)

    def servers(self):
        return set(self.registry.directory.servers_of("camphor"))

    def test_only_a_higher_version_replaces_a_configuration(self):
        self.registry.take(config_change(7, 10), 0.0)
        self.assertFalse(self.registry.take(config_change(6, 11), 0.0))
        self.assertFalse(self.registry.take(config_change(7, 12), 0.0))
        self.assertTrue(self.registry.take(config_change(9, 9), 0.0))
        self.assertEqual(self.registry.config.version, 9)

    def test_longest_prefix_of_the_host_wins(self):
        long = make_route()
        short = make_route(("a",))
        object.__setattr__(short, "prefix", b"/")
        self.registry.take(config_change(1, 1, (long, short)), 0.0)
        find_route = self.registry.routes.find_route
        self.assertIs(find_route(b"A.example", b"/lookup/x"), long)
        self.assertIs(find_route(b"a.example", b"/other"), short)
        self.assertIsNone(find_route(b"b.example", b"/lookup/x"))
        self.assertIs(find_route(b"a.example", b"/lookup"), short)

    def test_old_news_changes_nothing(self):
        self.registry.take(server_change("s1", 5), 0.0)
        self.assertFalse(self.registry.take(removal("s1", 4), 0.0))
        self.assertTrue(self.registry.take(removal("s1", 6), 0.0))
        self.assertFalse(self.registry.take(server_change("s1", 5), 0.0))
        self.assertEqual(self.servers(), set())

    def test_registration_that_lapsed_while_the_store_was_away_may_come_back(self):
        self.registry.take(server_change("s1", 5), 0.0)
        self.registry.returned_at = 10.0
        self.registry.take(removal("s1", 6), 10.1)
        self.assertEqual(self.servers(), {"s1"})
        self.assertEqual(self.registry.expire(10.1 + RETURN_S - 0.1), [])
        self.assertEqual(self.registry.expire(10.1 + RETURN_S + 0.1), ["s1"])
        self.assertEqual(self.servers(), set())

    def test_registration_that_came_back_stays(self):
        self.registry.take(server_change("s1", 5), 0.0)
        self.registry.returned_at = 10.0
        self.registry.take(removal("s1", 6), 10.1)
        self.registry.take(server_change("s1", 7), 11.0)
        self.assertEqual(self.registry.expire(20.0), [])
        self.assertEqual(self.servers(), {"s1"})

    def test_removal_in_calm_counts_at_once(self):
        self.registry.take(server_change("s1", 5), 100.0)
        self.registry.take(removal("s1", 6), 101.0)
        self.assertEqual(self.servers(), set())

    def test_snapshot_ends_what_it_lacks_but_not_what_is_newer(self):
        self.registry.take(server_change("old", 5), 50.0)
        self.registry.take(server_change("new", 30), 50.0)
        out = RevisedChange(6, DataCentreChanged("taipei-a", True))
        self.registry.take(out, 50.0)
        self.registry.apply_snapshot(StoreSnapshot((), 20), 51.0)
        self.assertEqual(self.servers(), {"new"})
        self.assertEqual(self.chooser.excluded_data_centres, set())

    def test_events_with_a_gap_do_not_move_the_revision(self):
        self.registry.apply_snapshot(StoreSnapshot((), 10), 0.0)
        late = StoreEvents((server_change("s2", 14),), 12, 14)
        self.assertEqual(len(self.registry.apply_events(late, 0.0)), 1)
        self.assertEqual(self.registry.revision, 10)
        missing = StoreEvents((server_change("s1", 11),), 10, 12)
        self.registry.apply_events(missing, 0.0)
        self.assertEqual(self.registry.revision, 12)

    def test_peers_get_the_changes_that_they_lack_or_everything(self):
        self.registry.apply_snapshot(StoreSnapshot((), 10), 0.0)
        self.registry.apply_events(StoreEvents((server_change("s1", 11),), 10, 11), 0.0)
        events = self.registry.events_after(10)
        self.assertEqual([c.revision for c in events.changes], [11])
        self.assertIsNone(self.registry.events_after(9))
        other = Registry(make_chooser([]).directory, make_chooser([]))
        other.apply_snapshot(self.registry.snapshot(), 0.0)
        self.assertEqual(set(other.directory.servers_of("camphor")), {"s1"})
        self.assertEqual(other.revision, 11)

    def test_data_centre_out_and_back(self):
        self.registry.take(RevisedChange(3, DataCentreChanged("z", True)), 0.0)
        self.assertEqual(self.chooser.excluded_data_centres, {"z"})
        self.registry.take(RevisedChange(4, DataCentreChanged("z", False)), 0.0)
        self.assertEqual(self.chooser.excluded_data_centres, set())
