import random
import unittest

from currantwharf.gateway.changes import StoreEvents, StoreSnapshot
from currantwharf.gateway.crash_watch import CrashWatch
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.limit_report import LimitReport
from currantwharf.gateway.registry import NEVER, Registry
from currantwharf.gateway.server_report import ServerReport
from currantwharf.gateway.store_position import StorePosition
from currantwharf.http1 import HttpRequest, Responder
from currantwharf.peers.hello import Hello, encode_hello
from currantwharf.peers.peer_table import PeerTable
from currantwharf.peers.peer_task import (
    REMOTE_FETCH_DELAY_ON_STORE_FAILURE_S,
    REMOTE_FETCH_DELAY_S,
    PeerTask,
)
from currantwharf.tests.fake_network import FakeNetwork
from currantwharf.tests.gateway_builders import (
    config_change,
    make_chooser,
    server_change,
)

GOSSIP_PORT, FETCH_PORT = 7000, 7001


class PeerTaskTests(unittest.TestCase):
    def setUp(self):
        self.network = FakeNetwork()
        self.crash_watches = {}
        self.server_reports = []
        self.limit_reports = {}
        self.received_limits = []
        self.fetches = []
        self.crash_fetches = []
        self.tasks = {name: self.start(name) for name in ("i0", "i1", "i2", "i3")}

    def start(self, name):
        chooser = make_chooser([])
        instance_info = InstanceInfo(
            name, name, "a", "r", {"a": "r"}, GOSSIP_PORT, FETCH_PORT, ("i0", "gone")
        )
        task = PeerTask(
            self.network,
            self.network,
            instance_info,
            "boot",
            PeerTable(name, "a", random.Random(name)),
            Registry(chooser.directory, chooser),
            lambda: (True, True),
            self.crash_watches.setdefault(name, CrashWatch()),
            lambda changes, source: None,
            lambda reports: self.server_reports.append((name, reports)),
            lambda: self.limit_reports.get(name, []),
            lambda reports: self.received_limits.append((name, reports)),
            random.Random(name),
        )
        task._fetch = lambda host, revision: self.fetch(name, host)
        task._crash_sync._fetch = self.fetch_crashes
        task.start()
        return task

    def fetch(self, name, host):
        """Answer a fetch by the task of the other host, without an HTTP connection."""
        self.fetches.append((name, host))
        registry = self.tasks[name]._registry
        answers = []
        responder = Responder(lambda status, headers, body: answers.append(body))
        target = b"/changes?after=%d&era=%d" % (registry.revision, registry.era)
        request = HttpRequest(b"GET", target, (), b"", True)
        self.tasks[host].answer_fetch(request, responder)
        answer = type("Answer", (), {"status": 200, "body": answers[0]})()
        self.tasks[name]._on_fetched(answer.body, host)

    def fetch_crashes(self, host, target, on_body):
        """Answer a fetch of crashes, unless the host is cut off."""
        self.crash_fetches.append(host)
        if host in self.network.cut_hosts:
            on_body(None)
            return
        answers = []
        responder = Responder(lambda status, headers, body: answers.append(body))
        request = HttpRequest(b"GET", target, (), b"", True)
        self.tasks[host].answer_fetch(request, responder)
        on_body(answers[0])

    def test_instances_find_each_other_from_one_seed(self):
        self.network.advance(0)
        for _ in range(50):
            self.network.advance(0.1)
        for task in self.tasks.values():
            self.assertEqual(task.table.fleet_size(self.network.seconds()), 4)

    def test_changes_reach_all_instances_within_two_seconds(self):
        for _ in range(50):
            self.network.advance(0.1)
        registry = self.tasks["i2"]._registry
        registry.apply_snapshot(StoreSnapshot((server_change("s0", 9),), 10), 0.0)
        registry.apply_events(StoreEvents((server_change("s1", 11),), 10, 11), 0.0)
        self.tasks["i2"].announce_change()
        for _ in range(20):
            self.network.advance(0.1)
        for task in self.tasks.values():
            self.assertEqual(task._registry.revision, 11)
            servers = task._registry.directory.get_servers("camphor")
            self.assertEqual(set(servers), {"s0", "s1"})

    def test_limits_of_servers_are_told_with_hellos(self):
        reports = [LimitReport(f"s{number}", 8.0, 0.5) for number in range(30)]
        self.limit_reports["i2"] = reports
        for _ in range(100):
            self.network.advance(0.1)
        told = {report for name, limits in self.received_limits for report in limits}
        self.assertEqual(told, set(reports))
        receivers = {name for name, _ in self.received_limits}
        self.assertEqual(receivers, {"i0", "i1", "i3"})

    def test_only_a_peer_that_serves_confirms_what_was_read(self):
        registry = self.tasks["i2"]._registry
        registry.apply_snapshot(StoreSnapshot((config_change(1, 9),), 10), 0.0)
        for revision, is_serving in ((10, False), (11, True)):
            self.receive_hello("i2", revision, is_serving)
            self.assertFalse(registry.is_confirmed)
        self.receive_hello("i2", 10, True)
        self.assertTrue(registry.is_confirmed)

    def test_the_age_of_a_confirmation_is_told_with_hellos(self):
        for _ in range(50):
            self.network.advance(0.1)
        for task in self.tasks.values():
            snapshot = StoreSnapshot((config_change(1, 9),), 10)
            task._registry.apply_snapshot(snapshot, 0.0)
        confirmed_at = self.network.seconds()
        self.tasks["i2"]._registry.confirm(10, confirmed_at)
        for _ in range(40):
            self.network.advance(0.1)
        for task in self.tasks.values():
            at = task._registry.confirmed_at
            self.assertLess(at, confirmed_at + 0.01)
            self.assertGreater(at, confirmed_at - 0.5)

    def test_an_instance_that_is_behind_is_not_confirmed_by_a_newer_peer(self):
        registry = self.tasks["i2"]._registry
        registry.apply_snapshot(StoreSnapshot((config_change(1, 9),), 10), 0.0)
        self.receive_hello("i2", 11, True, confirmed_age_s=0.1)
        self.assertEqual(registry.confirmed_at, NEVER)

    def receive_hello(self, name, revision, is_serving, **fields):
        hello = Hello("i1", "boot", "i1", "a", is_serving, True, revision, **fields)
        self.tasks[name].datagramReceived(encode_hello(hello), ("i1", GOSSIP_PORT))

    def test_reports_on_servers_reach_the_instances_that_call_them(self):
        for _ in range(50):
            self.network.advance(0.1)
        reports = (ServerReport("s1"), ServerReport("s2", 110))
        self.tasks["i2"].send_reports(reports, "a")
        self.network.advance(0.01)
        expected = [(name, reports) for name in ("i0", "i1", "i3")]
        self.assertEqual(sorted(self.server_reports), expected)

    def test_instance_that_was_cut_off_catches_up(self):
        for _ in range(50):
            self.network.advance(0.1)
        self.network.cut_hosts = {"i3"}
        registry = self.tasks["i0"]._registry
        registry.apply_snapshot(StoreSnapshot((server_change("s0", 9),), 10), 0.0)
        self.tasks["i0"].announce_change()
        for _ in range(50):
            self.network.advance(0.1)
        self.assertEqual(self.tasks["i3"]._registry.revision, 0)
        self.network.cut_hosts = set()
        for _ in range(30):
            self.network.advance(0.1)
        self.assertEqual(self.tasks["i3"]._registry.revision, 10)

    def test_datagrams_per_instance_do_not_grow_with_the_fleet(self):
        def measure_rate():
            for _ in range(50):
                self.network.advance(0.1)
            before = self.network.sent_count
            for _ in range(100):
                self.network.advance(0.1)
            return (self.network.sent_count - before) / len(self.tasks)

        small_fleet_rate = measure_rate()
        for index in range(4, 24):
            self.tasks[f"i{index}"] = self.start(f"i{index}")
        self.assertLess(measure_rate(), 1.5 * small_fleet_rate)

    def restore_at(self, name, version, revision):
        """Let one instance see the store restored; return its registry."""
        registry = self.tasks[name]._registry
        snapshot = StoreSnapshot((config_change(version, revision),), revision, era=2)
        registry.apply_snapshot(snapshot, self.network.seconds())
        return registry

    def start_in_first_era(self):
        for task in self.tasks.values():
            snapshot = StoreSnapshot((config_change(3, 9),), 51, era=1)
            task._registry.apply_snapshot(snapshot, 0.0)
        for _ in range(50):
            self.network.advance(0.1)

    def positions(self):
        return {task._registry.position for task in self.tasks.values()}

    def test_restored_store_that_one_instance_has_seen_is_taken_by_all(self):
        """The others know a higher revision, of the era before."""
        self.start_in_first_era()
        self.restore_at("i2", 4, 50)
        self.tasks["i2"].announce_change()
        for _ in range(20):
            self.network.advance(0.1)
        self.assertEqual(self.positions(), {StorePosition(2, 50)})
        versions = {task._registry.config.version for task in self.tasks.values()}
        self.assertEqual(versions, {4})

    def test_instance_that_was_cut_off_during_the_restore_does_not_undo_it(self):
        self.start_in_first_era()
        self.network.cut_hosts = {"i3"}
        self.restore_at("i0", 4, 50)
        for _ in range(50):
            self.network.advance(0.1)
        late = self.tasks["i3"]._registry
        events = StoreEvents((server_change("lost", 52),), 51, 52, era=1)
        late.apply_events(events, self.network.seconds())
        self.network.cut_hosts = set()
        for _ in range(40):
            self.network.advance(0.1)
        self.assertEqual(self.positions(), {StorePosition(2, 50)})
        for name in ("i0", "i1", "i2"):
            directory = self.tasks[name]._registry.directory
            self.assertEqual(directory.get_servers("camphor"), {})

    def test_second_restore_is_taken_before_all_know_of_the_first(self):
        self.start_in_first_era()
        self.restore_at("i0", 4, 50)
        snapshot = StoreSnapshot((config_change(5, 40),), 40, era=3)
        registry = self.tasks["i1"]._registry
        registry.apply_snapshot(snapshot, self.network.seconds())
        for _ in range(40):
            self.network.advance(0.1)
        self.assertEqual(self.positions(), {StorePosition(3, 40)})

    def test_earlier_build_does_not_undo_a_restore(self):
        """It names no era, and knows a higher revision of the era before."""
        self.start_in_first_era()
        registry = self.restore_at("i2", 4, 50)
        old = StoreEvents((server_change("lost", 52),), 50, 52)
        sent_count = self.network.sent_count
        self.receive_hello("i2", 52, True, events=old)
        self.assertEqual(self.network.sent_count, sent_count)
        self.network.advance(1.0)
        self.assertEqual(registry.position, StorePosition(2, 50))
        self.assertEqual(registry.directory.get_servers("camphor"), {})

    def test_earlier_build_is_heard_until_a_restore_is_seen(self):
        self.start_in_first_era()
        events = StoreEvents((server_change("s1", 52),), 51, 52)
        self.receive_hello("i2", 52, True, events=events)
        registry = self.tasks["i2"]._registry
        self.assertEqual(registry.position, StorePosition(1, 52))

    def test_remote_changes_are_fetched_sooner_after_a_store_failure(self):
        task = self.tasks["i0"]
        self.network.advance(0.1)
        task._registry.apply_snapshot(StoreSnapshot((config_change(3, 5),), 10), 0.0)
        for can_read, delay_s in (
            (True, REMOTE_FETCH_DELAY_S),
            (False, REMOTE_FETCH_DELAY_ON_STORE_FAILURE_S),
        ):
            with self.subTest(can_read=can_read):
                hello = Hello("far", "b", "i1", "b", True, can_read, 20)
                started_at = self.network.seconds()
                task.datagramReceived(encode_hello(hello), ("i1", 1))
                self.fetches.clear()
                while ("i0", "i1") not in self.fetches:
                    self.network.advance(0.05)
                elapsed_s = self.network.seconds() - started_at
                self.assertAlmostEqual(elapsed_s, delay_s, delta=0.06)

    def test_crash_reports_reach_other_instances(self):
        for _ in range(50):
            self.network.advance(0.1)
        self.record_crashes("i1", "f", 1)
        self.tasks["i1"].send_to_all()
        self.network.advance(0.002)
        now = self.network.seconds()
        told, heard = (
            self.crash_watches[name].list_recent_reports(now) for name in ("i1", "i3")
        )
        self.assertEqual(
            [(report.key, report.boot) for report in heard], [("f", "s-f-0")]
        )
        self.assertAlmostEqual(heard[0].age_s, told[0].age_s, places=2)

    def record_crashes(self, name, fingerprint, count):
        for number in range(count):
            self.crash_watches[name].table.record_loss(
                fingerprint, f"s-{fingerprint}-{number}", self.network.seconds()
            )

    def test_restarted_instance_learns_of_every_request_that_crashes_servers(self):
        """There are more of them than the newest crashes in a hello can tell."""
        for _ in range(20):
            self.network.advance(0.1)
        for number in range(40):
            self.record_crashes("i1", f"f{number}", 3)
        for _ in range(30):
            self.network.advance(0.1)
        self.tasks["i9"] = self.start("i9")
        for _ in range(20):
            self.network.advance(0.1)
        now = self.network.seconds()
        for number in range(40):
            self.assertTrue(self.crash_watches["i9"].is_held(f"f{number}", now))

    def test_fetches_of_crashes_that_bring_nothing_become_rare(self):
        for _ in range(20):
            self.network.advance(0.1)
        self.record_crashes("i1", "f", 3)
        for name in ("i0", "i2", "i3"):
            self.crash_watches[name].on_request_answered("f", self.network.seconds())
        for _ in range(600):
            self.network.advance(0.1)
            for name in ("i0", "i2", "i3"):
                now = self.network.seconds()
                self.crash_watches[name].on_request_answered("f", now)
        self.assertLess(len(self.crash_fetches), 3 * 10)

    def test_unreadable_datagram_is_ignored_and_logged(self):
        with self.assertLogs("currantwharf", "WARNING"):
            self.tasks["i0"].datagramReceived(b"nonsense", ("i9", 1))
