import unittest

from currantwharf.gateway.crash_watch import CrashWatch


class CrashWatchTests(unittest.TestCase):
    def setUp(self):
        self.watch = CrashWatch()

    def crash(self, server, now=0.0):
        self.watch.on_connection_broken("f", server, now)
        self.watch.on_unreachable(server, now + 0.1)

    def test_third_crash_holds_the_request(self):
        self.crash("a")
        self.crash("b")
        self.assertFalse(self.watch.is_held("f", 1.0))
        self.crash("c")
        self.assertTrue(self.watch.is_held("f", 1.0))

    def test_lost_answer_is_not_a_crash(self):
        for server in "abcd":
            self.watch.on_connection_broken("f", server, 0.0)
            self.watch.on_answer("other", server)
            self.watch.on_unreachable(server, 0.1)
        self.assertFalse(self.watch.is_held("f", 1.0))

    def test_late_connection_failure_does_not_confirm_a_crash(self):
        for server in "abc":
            self.watch.on_connection_broken("f", server, 0.0)
            self.watch.on_unreachable(server, 5.0)
        self.assertFalse(self.watch.is_held("f", 6.0))

    def test_crashes_seen_by_other_instances_count(self):
        other = CrashWatch()
        self.crash("a")
        self.crash("b")
        other.merge_reports(self.watch.list_recent_reports(1.0), 1.0)
        other.on_connection_broken("f", "c", 1.1)
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
        self.watch.on_connection_broken("f", "a", 0.0)
        self.watch.expire(1.0)
        with self.assertLogs("currantwharf", "INFO") as logs:
            self.watch.expire(2.0)
            self.watch.expire(3.0)
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
