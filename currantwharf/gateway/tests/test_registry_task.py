import random
import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from currantwharf.gateway.changes import StoreEvents, StoreSnapshot
from currantwharf.gateway.metadata_store import StoreFailure
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.registry_task import (
    ALERT_CHECK_S,
    PACE_S,
    SPOT_CHECK_S,
    RegistryTask,
)
from currantwharf.tests.gateway_builders import (
    config_change,
    make_chooser,
    server_change,
)


class FakeStore:
    """Keep the calls open for the test to answer."""

    def __init__(self):
        self.calls = []

    def read_all(self, may_be_stale):
        return self._call("stale" if may_be_stale else "read")

    def watch(self, after, wait_s):
        return self._call(f"watch {after}")

    def _call(self, name):
        self.calls.append((name, Deferred()))
        return self.calls[-1][1]

    def cancel_watch(self):
        self.calls.pop(0)[1].callback(StoreFailure.SILENT)

    def answer(self, name, result):
        asked, done = self.calls.pop(0)
        assert asked == name, (asked, name)
        done.callback(result)


class RegistryTaskTests(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.now = self.clock.seconds
        self.store = FakeStore()
        self.news = []
        self.is_reader = True
        self.doubts = []
        self.is_alert = False
        chooser = make_chooser([])
        self.registry = Registry(chooser.directory, chooser)
        self.task = RegistryTask(
            self.clock,
            self.clock,
            self.store,
            self.registry,
            lambda: self.is_reader,
            self.news.extend,
            lambda: self.doubts.append(True),
            lambda: 4,
            lambda: self.is_alert,
            random.Random(1),
        )
        self.task.start()

    def read(self):
        snapshot = StoreSnapshot((config_change(3, 5),), 10)
        self.store.answer("stale", snapshot)

    def test_first_read_may_be_stale_since_the_watch_brings_the_rest(self):
        self.read()
        self.assertEqual(self.registry.config.version, 3)
        self.assertEqual(self.store.calls[0][0], "watch 10")

    def test_watches_are_paced_after_news(self):
        self.read()
        found = StoreEvents((server_change("s1", 11),), 10, 11)
        self.store.answer("watch 10", found)
        self.assertEqual(len(self.news), 2)
        self.assertEqual(self.store.calls, [])
        self.clock.advance(PACE_S)
        self.assertEqual(self.store.calls[0][0], "watch 11")

    def test_lost_history_is_read_anew_and_not_stale(self):
        self.read()
        self.store.answer("watch 10", StoreFailure.HISTORY_LOST)
        self.assertEqual(self.store.calls[0][0], "read")

    def test_failures_are_retried_soon_and_leave_what_is_known(self):
        self.read()
        for _ in range(5):
            self.store.answer("watch 10", StoreFailure.UNAVAILABLE)
            self.assertFalse(self.task.is_store_up)
            self.assertFalse(self.task.can_read)
            self.clock.advance(1.0)
        self.assertEqual(self.registry.config.version, 3)
        self.store.answer("watch 10", StoreEvents((), 10, 10))
        self.assertTrue(self.task.is_store_up)
        self.assertEqual(self.registry.returned_at, self.clock.seconds())

    def test_instance_that_is_no_reader_does_not_call(self):
        self.is_reader = False
        self.read()
        self.clock.advance(5.0)
        self.assertEqual(self.store.calls, [])
        self.is_reader = True
        self.clock.advance(1.0)
        self.assertEqual(self.store.calls[0][0], "watch 10")

    def test_watch_goes_on_from_what_peers_have_told(self):
        self.is_reader = False
        self.read()
        self.registry.apply_events(StoreEvents((server_change("s1", 12),), 10, 12), 0.0)
        self.is_reader = True
        self.clock.advance(1.0)
        self.assertEqual(self.store.calls[0][0], "watch 12")

    def test_watch_that_brings_nothing_while_others_hear_is_given_up(self):
        self.read()
        self.task.note_newest(10)
        self.clock.advance(2.0)
        self.task.note_newest(12)
        self.clock.advance(0.5)
        self.task.note_newest(12)
        self.assertTrue(self.task.can_read)
        self.clock.advance(0.5)
        self.task.note_newest(12)
        self.assertFalse(self.task.can_read)
        self.assertEqual(self.doubts, [True])
        self.clock.advance(1.0)
        self.assertEqual(self.store.calls[0][0], "watch 10")

    def test_spot_check_finds_what_deaf_readers_missed(self):
        self.is_reader = False
        self.read()
        for _ in range(130):
            self.clock.advance(0.1)
            if self.store.calls:
                break
        found = StoreEvents((config_change(9, 14),), 10, 14)
        self.store.answer("watch 10", found)
        self.assertEqual(self.registry.config.version, 9)

    def count_checks(self):
        """Answer every spot check for 80 s and return how many there were."""
        calls = 0
        for _ in range(800):
            self.clock.advance(0.1)
            while self.store.calls:
                calls += 1
                self.store.answer("watch 10", StoreEvents((), 10, 10))
        return calls

    def test_spot_checks_of_the_fleet_are_bounded(self):
        self.is_reader = False
        self.read()
        calls = self.count_checks()
        self.assertLessEqual(calls * 4, 1.5 * 80 / SPOT_CHECK_S)
        self.assertGreater(calls, 0)

    def test_gaps_between_checks_are_short_while_the_store_is_in_trouble(self):
        self.is_reader = False
        self.is_alert = True
        self.read()
        calls = self.count_checks()
        self.assertGreater(calls * 4, 0.6 * 80 / ALERT_CHECK_S)

    def test_change_is_found_in_time_though_every_watch_is_deaf(self):
        # Six of nine instances read; a change has 4 s, of which spreading takes one.
        checks, stores = [0.0], [FakeStore() for _ in range(6)]
        for at, store in enumerate(stores):
            chooser = make_chooser([])
            task = RegistryTask(
                self.clock,
                self.clock,
                store,
                Registry(chooser.directory, chooser),
                lambda: False,
                lambda news: None,
                lambda: None,
                lambda: 9,
                lambda: True,
                random.Random(at),
            )
            task.start()
            store.answer("stale", StoreSnapshot((config_change(3, 5),), 10))
        for _ in range(3000):
            self.clock.advance(0.1)
            for store in stores:
                if store.calls:
                    checks.append(self.clock.seconds())
                    store.answer("watch 10", StoreEvents((), 10, 10))
        gaps = [later - at for at, later in zip(checks, checks[1:], strict=False)]
        self.assertLess(max(gaps), 3.0)

    def test_fault_in_reading_does_not_end_it(self):
        self.read()
        with self.assertLogs("currantwharf", "ERROR"):
            self.store.answer("watch 10", "not an answer")
        self.clock.advance(1.0)
        self.assertEqual(self.store.calls[0][0], "watch 10")
