import unittest
from dataclasses import replace

from currantwharf.gateway.crash_watch import ANSWER_VALID_S, END_WINDOW_S, CrashWatch
from currantwharf.tests.gateway_builders import make_entry


class CrashWatchTests(unittest.TestCase):
    def setUp(self):
        self.watch = CrashWatch()

    def crash(self, server, now=0.0):
        self.watch.on_connection_broken("f", make_entry(server), now)
        self.watch.on_unreachable(server, now + 0.1)

    def test_third_crash_holds_the_request(self):
        self.crash("a")
        self.crash("b")
        self.assertFalse(self.watch.is_held("f", 1.0))
        self.crash("c")
        self.assertTrue(self.watch.is_held("f", 1.0))

    def test_lost_answer_is_not_a_crash(self):
        for server in "abcd":
            self.watch.on_connection_broken("f", make_entry(server), 0.0)
            self.watch.on_server_answer(server, sent_at=0.0)
            self.watch.on_unreachable(server, 0.1)
        self.assertFalse(self.watch.is_held("f", 1.0))

    def test_answer_sent_before_the_crash_does_not_rule_it_out(self):
        """Both requests were at the server, and one was answered before it crashed."""
        for server in "abc":
            self.watch.on_connection_broken("f", make_entry(server), 1.0)
            self.watch.on_server_answer(server, sent_at=0.9)
            self.watch.on_unreachable(server, 1.1)
        self.assertTrue(self.watch.is_held("f", 2.0))

    def test_lookup_under_way_at_a_rack_that_is_lost_is_not_held(self):
        """Servers of other shards answer it, before and after the crashes."""
        for server in "abc":
            self.watch.on_connection_broken("before", make_entry(server), 1.0)
            self.watch.on_connection_broken("after", make_entry(server), 1.0)
        self.watch.on_request_answered("before", 0.9)
        for server in "abc":
            self.watch.on_unreachable(server, 1.1)
        self.watch.on_request_answered("after", 1.2)
        self.assertFalse(self.watch.is_held("before", 1.3))
        self.assertFalse(self.watch.is_held("after", 1.3))
        reports = self.watch.list_recent_reports(1.3)
        self.assertEqual([report for report in reports if not report.is_cleared], [])

    def test_other_instances_are_told_that_a_held_request_was_answered(self):
        other = CrashWatch()
        for server in "abc":
            self.crash(server)
        other.merge_reports(self.watch.list_recent_reports(0.5), 0.5)
        self.assertTrue(other.is_held("f", 0.6))
        self.watch.has_new_losses = False
        self.watch.on_request_answered("f", 0.7)
        self.assertTrue(self.watch.has_new_losses)
        other.merge_reports(self.watch.list_recent_reports(0.8), 0.8)
        self.assertFalse(other.is_held("f", 0.9))
        third = CrashWatch()
        for server in "abc":
            third.table.record_loss("f", server, 0.1)
        other.merge_reports(third.list_recent_reports(1.0), 1.0)
        self.assertFalse(other.is_held("f", 1.1))

    def test_old_answer_does_not_keep_a_request_from_being_held(self):
        self.watch.on_request_answered("f", 0.0)
        for server in "abc":
            self.crash(server, now=ANSWER_VALID_S + 1.0)
        self.assertTrue(self.watch.is_held("f", ANSWER_VALID_S + 2.0))

    def test_server_that_crashes_again_under_its_id_counts_again(self):
        first = make_entry("a", started_ms=1_000)
        for number in range(3):
            self.assertFalse(self.watch.is_held("f", 1.0))
            entry = replace(first, started_ms=first.started_ms + number)
            self.watch.on_connection_broken("f", entry, 0.0)
            self.watch.on_unreachable("a", 0.1)
        self.assertTrue(self.watch.is_held("f", 1.0))

    def test_crash_of_a_server_that_is_back_at_once_counts(self):
        """A connection to it can be opened, so only its end shows the crash."""
        for server, on_end in (
            ("a", self.watch.on_ended),
            ("b", self.watch.on_ended),
            ("c", self.watch.on_restarted),
        ):
            self.watch.on_connection_broken("f", make_entry(server), 0.0)
            self.assertFalse(self.watch.is_held("f", 4.0))
            on_end(server, 4.0)
        self.assertTrue(self.watch.is_held("f", 4.0))

    def test_late_connection_failure_does_not_confirm_a_crash(self):
        for server in "abc":
            self.watch.on_connection_broken("f", make_entry(server), 0.0)
            self.watch.on_unreachable(server, 5.0)
        self.assertFalse(self.watch.is_held("f", 6.0))

    def test_crashes_seen_by_other_instances_count(self):
        other = CrashWatch()
        self.crash("a")
        self.crash("b")
        other.merge_reports(self.watch.list_recent_reports(1.0), 1.0)
        other.on_connection_broken("f", make_entry("c"), 1.1)
        other.on_unreachable("c", 1.2)
        self.assertTrue(other.is_held("f", 1.3))
        self.assertTrue(other.has_new_losses)

    def test_crash_reported_twice_counts_once(self):
        for _ in range(3):
            self.crash("a")
            self.watch.merge_reports(self.watch.list_recent_reports(1.0), 1.0)
        self.assertFalse(self.watch.is_held("f", 1.0))

    def test_suspected_crash_that_nothing_decides_is_logged_and_counted(self):
        events = []
        self.watch.on_event = events.append
        self.watch.on_connection_broken("f", make_entry("a"), 0.0)
        self.watch.expire(1.0)
        with self.assertLogs("currantwharf", "INFO") as logs:
            self.watch.expire(END_WINDOW_S + 0.1)
            self.watch.expire(END_WINDOW_S + 1.0)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(logs.records[0].server, "a")
        self.assertEqual(events, ["crashes_suspected", "crashes_undecided"])

    def test_third_crash_is_logged_as_holding_the_request(self):
        with self.assertLogs("currantwharf", "INFO") as logs:
            for server in "abc":
                self.crash(server)
        counted = [record for record in logs.records if hasattr(record, "crashes")]
        self.assertEqual([record.crashes for record in counted], [1, 2, 3])
        self.assertEqual([r.is_held for r in counted], [False, False, True])
