import unittest

from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.copy_doubts import COPY_DOUBT_S
from currantwharf.gateway.store_change import ConfigChanged, ServerChanged
from currantwharf.tests.gateway_builders import make_config, make_entry
from currantwharf.tests.simulated_fleet import SimulatedFleet, same_view

SPREAD_S = 3.0  # three quarters of the time that a configuration may take


class RestoredStoreTests(unittest.TestCase):
    """A fleet whose store is away for 2 s and comes back from an older copy."""

    def start_fleet(self, size, data_centres):
        self.fleet = SimulatedFleet(size, data_centres)
        self.store = self.fleet.store
        self.publish(1)
        for number in range(20):
            self.register(f"s{number}", sequence=1)
        self.fleet.start()
        self.fleet.run(8.0)

    def publish(self, version):
        self.store.write(
            "config",
            lambda revision: RevisedChange(
                revision, ConfigChanged(make_config(version))
            ),
        )

    def register(self, server, **fields):
        entry = make_entry(server, **fields)
        self.store.write(
            server, lambda revision: RevisedChange(revision, ServerChanged(entry))
        )

    def lose_and_restore(self):
        """Restore a copy that lacks two versions, a leaving and a new server."""
        copy = self.store.take_copy()
        self.publish(2)
        self.register("s1", sequence=9, leaving=True)
        self.register("s-new", sequence=1)
        self.publish(3)
        self.fleet.run(SPREAD_S)
        self.assertEqual(set(self.fleet.versions()), {3})
        self.store.fail()
        self.fleet.run(2.0)
        self.store.is_up = True
        self.store.restore(copy)
        self.store.calls.clear()
        self.publish(3)

    def check(self, size, data_centres):
        self.start_fleet(size, data_centres)
        self.lose_and_restore()
        self.fleet.run(1.0)
        self.register("s-new", sequence=4)
        self.publish(4)
        self.fleet.run(SPREAD_S)
        self.assertEqual(self.fleet.versions(), {4: size})
        self.assertEqual(len(self.fleet.positions()), 1)
        self.fleet.run(COPY_DOUBT_S)
        first = self.fleet.instances[0].registry
        self.assertTrue(first.directory.get("s1").leaving)
        self.assertIn("s-new", first.directory.get_servers("camphor"))
        for instance in self.fleet.instances:
            self.assertTrue(same_view(first, instance.registry), instance.name)

    def test_change_after_a_restore_reaches_nine_instances(self):
        self.check(9, 3)

    def test_change_after_a_restore_reaches_sixty_instances(self):
        self.check(60, 6)

    def test_large_fleet_finds_out_without_reading_the_store_at_once(self):
        self.check(195, 6)
        # The reader of each data centre, and a few that found out by a spot check.
        self.assertLess(self.store.calls["read_all"], 3 * 6)
