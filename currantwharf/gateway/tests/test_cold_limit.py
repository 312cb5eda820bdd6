import unittest

from currantwharf.gateway.cold_limit import ColdLimit
from currantwharf.gateway.ineligible import Ineligible
from currantwharf.tests.gateway_builders import (
    make_answer,
    make_chooser,
    make_entry,
    make_route,
)


def sends_in(limits, entry, seconds, start=0.0):
    """Return the times at which instances that always want to send may do so."""
    sends = []
    for step in range(int(seconds * 100)):
        now = start + step / 100
        for limit in limits:
            if limit.may_send(entry, now):
                limit.on_send(entry, now)
                sends.append(now)
    return sends


def most_in_a_second(sends):
    return max(sum(at <= later < at + 1.0 for later in sends) for at in sends)


def fleet(instances, rate):
    limits = []
    for at in range(instances):
        limit = ColdLimit(f"i{at}")
        limit.get_cold_rate = lambda service: rate
        limit.share = 1 / instances
        limits.append(limit)
    return limits


class ColdLimitTests(unittest.TestCase):
    def test_all_instances_together_keep_to_the_rate_with_slack(self):
        entry = make_entry()
        for instances, rate in ((9, 10.0), (9, 4.0), (3, 20.0), (12, 5.0)):
            with self.subTest(instances=instances, rate=rate):
                sends = sends_in(fleet(instances, rate), entry, 4.0)
                self.assertLessEqual(most_in_a_second(sends), rate * 1.5 + 5)
                self.assertGreater(len(sends), rate * 2)

    def test_instance_with_a_tiny_share_sends_none(self):
        limit = fleet(1, 10.0)[0]
        limit.share = 0.001
        self.assertEqual(sends_in([limit], make_entry(), 20.0), [])

    def test_service_that_declares_nothing_is_not_limited(self):
        limit = ColdLimit("i")
        self.assertEqual(len(sends_in([limit], make_entry(), 0.1)), 10)

    def test_cold_server_is_left_out_until_its_share_allows_one_more(self):
        entry = make_entry("near", warm_up_s=3.0)
        chooser = make_chooser([entry])
        chooser.cold_limit.get_cold_rate = lambda service: 10.0
        chooser.set_share(0.1)
        chooser.on_registration(entry, 0.0)
        route = make_route()
        first = next(
            now / 100
            for now in range(101)
            if chooser.choose("camphor", route, (), now / 100)
        )
        chooser.on_send(entry, 0, first)
        why = chooser.why_not(entry, route, (), first + 0.5)
        self.assertIs(why, Ineligible.COLD)
        self.assertIsNone(chooser.why_not(entry, route, (), first + 1.01))

    def test_answer_that_says_nothing_of_it_does_not_end_the_warm_up(self):
        entry = make_entry("near", warm_up_s=3.0)
        chooser = make_chooser([entry])
        chooser.cold_limit.get_cold_rate = lambda service: 10.0
        chooser.set_share(0.001)
        chooser.on_registration(entry, 0.0)
        chooser.on_send(entry, 0, 0.0)
        chooser.on_result(make_answer(), entry, 0, 0.01)
        why = chooser.why_not(entry, make_route(), (), 1.0)
        self.assertIs(why, Ineligible.COLD)

    def test_server_that_turns_cold_again_says_so_in_an_answer(self):
        entry = make_entry("near")
        chooser = make_chooser([entry])
        chooser.cold_limit.get_cold_rate = lambda service: 10.0
        chooser.set_share(0.001)
        route = make_route()
        self.assertIsNone(chooser.why_not(entry, route, (), 0.0))
        chooser.on_send(entry, 0, 0.0)
        chooser.on_result(make_answer(warm_up_s=2.0), entry, 0, 0.01)
        self.assertIs(chooser.why_not(entry, route, (), 1.0), Ineligible.COLD)
        self.assertIsNone(chooser.why_not(entry, route, (), 2.1))
