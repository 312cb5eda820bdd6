import unittest

from currantwharf.gateway.backend_answer import Verdict
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.ineligible import Ineligible
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.http1 import ConnectionFailure
from currantwharf.tests.gateway_builders import (
    FAR,
    NEAR,
    make_answer,
    make_chooser,
    make_entry,
    make_route,
)


class ServerChoiceTests(unittest.TestCase):
    def setUp(self):
        self.near = make_entry("near")
        self.far = make_entry("far", data_centre=FAR)
        self.chooser = make_chooser([self.near, self.far])
        self.route = make_route()

    def choose(self, now=0.0, tried=()):
        entry = self.chooser.choose("camphor", self.route, tried, now)
        return entry.server if entry else None

    def learn(self, entry, latency_s, times=8, now=0.0):
        for attempt in range(times):
            self.chooser.on_send(entry, attempt, now)
            now += latency_s
            self.chooser.on_result(make_answer(), entry, attempt, now)
        return now

    def test_near_server_first(self):
        self.assertEqual(self.choose(), "near")

    def alternate(self, entry, outcomes, now=0.0):
        for outcome in outcomes:
            self.chooser.on_send(entry, 0, now)
            now += 0.01
            self.chooser.on_result(outcome, entry, 0, now)
        return now

    def test_server_that_loses_answers_now_and_then_ranks_behind(self):
        self.learn(self.near, 0.012)
        self.learn(self.far, 0.053)
        outcomes = [make_answer(), ConnectionFailure.BROKEN] * 3
        now = self.alternate(self.near, outcomes)
        self.assertFalse(now < self.chooser.evidence(self.near).ejected_until)
        self.assertEqual(self.choose(now), "far")
        self.assertEqual(self.choose(now + 20.0), "near")

    def test_one_loss_weighs_more_for_an_order(self):
        self.learn(self.near, 0.05)
        self.learn(self.far, 0.15)
        now = self.alternate(self.near, [ConnectionFailure.BROKEN, make_answer()])
        self.assertEqual(self.choose(now), "near")
        self.route = make_route(idempotent=False)
        self.assertEqual(self.choose(now), "far")

    def test_new_connection_costs_a_round_trip(self):
        self.chooser.has_connection = lambda server: server == "far"
        connected = self.chooser.latency_s(self.far, 0.0)
        self.assertEqual(connected, self.chooser.expected_s(self.far, 0.0))
        self.chooser.has_connection = lambda server: False
        self.chooser.on_connected(FAR, 0.04)
        unconnected = self.chooser.latency_s(self.far, 0.0)
        self.assertAlmostEqual(unconnected - connected, 0.04)

    def test_equal_servers_are_ranked_by_their_connections(self):
        entries = [make_entry(f"far{at}", data_centre=FAR) for at in range(3)]
        self.chooser = make_chooser(entries)
        self.chooser.has_connection = lambda server: server == "far1"
        chosen = {self.choose() for _ in range(50)}
        self.assertEqual(chosen, {"far1"})

    def test_connection_for_a_hedge_is_opened_once(self):
        self.chooser.has_connection = lambda server: server == "near"
        prepare = self.chooser.to_prepare
        self.chooser.begin("camphor", 0.0)
        self.assertIsNone(prepare("camphor", self.route, {"near"}, 0.0))
        self.chooser.begin("camphor", 0.5)
        self.assertEqual(prepare("camphor", self.route, {"near"}, 0.5), self.far)
        self.chooser.has_connection = lambda server: True
        self.assertIsNone(prepare("camphor", self.route, {"near"}, 0.5))
        self.chooser.has_connection = lambda server: False
        self.chooser.begin("camphor", 5.0)
        self.assertIsNone(prepare("camphor", self.route, {"near"}, 5.0))

    def test_reload_gives_no_new_budget(self):
        limits = GatewayLimits(repeat_ratio=0.0, repeat_slack=4.0)
        self.chooser.set_limits(limits)
        self.chooser.set_share(1.0)
        repeat = self.chooser.why_not_repeat
        allowed = [repeat("camphor", "f", 0.0) for _ in range(8)].count(None)
        self.assertEqual(allowed, 3)
        self.chooser.set_limits(limits)
        self.assertIs(repeat("camphor", "f", 1.0), RepeatRefusal.BUDGET_SPENT)

    def test_reasons_against_a_server(self):
        leaving = make_entry("x", leaving=True)
        why = self.chooser.why_not
        self.assertEqual(why(leaving, self.route, (), 0.0), Ineligible.LEAVING)
        self.assertEqual(why(self.near, self.route, {"near"}, 0.0), Ineligible.TRIED)
        self.chooser.excluded_data_centres = {NEAR}
        self.assertEqual(
            why(self.near, self.route, (), 0.0), Ineligible.DATA_CENTRE_OUT
        )
        self.chooser.excluded_data_centres = set()
        home = make_route(regions=frozenset({"taichung"}))
        self.assertEqual(why(self.near, home, (), 0.0), Ineligible.REGION_NOT_ALLOWED)
        self.assertIsNone(why(self.far, home, (), 0.0))

    def test_address_that_was_reused_gets_nothing_until_registered_anew(self):
        self.chooser.on_send(self.near, 1, 0.0)
        misdirected = make_answer(Verdict.MISDIRECTED, 421)
        self.chooser.on_result(misdirected, self.near, 1, 0.1)
        self.assertEqual(
            self.chooser.why_not(self.near, self.route, (), 0.0),
            Ineligible.ADDRESS_REUSED,
        )
        self.chooser.on_registration(self.near, 1.0)
        self.assertIsNone(self.chooser.why_not(self.near, self.route, (), 0.0))

    def test_first_silence_counts_for_all_that_comes(self):
        now = self.learn(self.near, 0.01)
        self.chooser.on_send(self.near, 99, now)
        self.assertEqual(self.choose(now + 0.01), "near")
        self.assertEqual(self.choose(now + 0.2), "far")

    def test_server_that_answers_others_is_not_silent(self):
        now = self.learn(self.near, 0.01)
        self.chooser.on_send(self.near, 98, now)
        self.chooser.on_send(self.near, 99, now + 0.1)
        self.chooser.on_result(make_answer(), self.near, 99, now + 0.11)
        self.assertEqual(self.choose(now + 0.2), "near")

    def test_slow_server_is_left_for_a_far_one_and_tried_again_later(self):
        now = self.learn(self.far, 0.05)
        now = self.learn(self.near, 0.3, now=now)
        self.assertEqual(self.choose(now), "far")
        self.assertEqual(self.choose(now + 60.0), "near")

    def test_failing_server_is_ejected_for_a_while(self):
        for attempt in range(2):
            self.chooser.on_send(self.near, attempt, 0.0)
            failed = make_answer(Verdict.FAILED, 500)
            self.chooser.on_result(failed, self.near, attempt, 0.01)
        self.assertEqual(self.choose(0.1), "far")
        self.assertEqual(self.choose(30.0), "near")

    def test_ejected_server_is_better_than_none(self):
        for attempt in range(4):
            self.chooser.on_send(self.near, attempt, 0.0)
            lost = ConnectionFailure.REFUSED
            self.chooser.on_result(lost, self.near, attempt, 0.01)
        self.assertEqual(self.choose(0.1, tried={"far"}), "near")

    def test_one_pause_does_not_make_a_server_slow(self):
        now = self.learn(self.near, 0.01)
        usual = self.chooser.evidence(self.near).mean_s
        self.learn(self.near, 0.21, times=1, now=now)
        self.assertLess(self.chooser.evidence(self.near).mean_s, 2 * usual + 0.01)

    def test_budget_of_repeats_is_the_instances_share(self):
        limits = GatewayLimits(repeat_ratio=0.2, repeat_slack=40.0)
        chooser = make_chooser([self.near], limits)
        chooser.set_share(0.1)
        for _ in range(100):
            chooser.begin("camphor", 0.0)
        taken = 0
        while chooser.why_not_repeat("camphor", "f", 0.0) is None:
            taken += 1
        self.assertLessEqual(taken, 0.2 * 100 + 0.1 * 40)
        self.assertGreater(taken, 10)
        self.assertEqual(
            chooser.why_not_repeat("camphor", "f", 0.0), RepeatRefusal.BUDGET_SPENT
        )
