import unittest

from currantwharf.policy.extra_budget import ExtraBudget

WINDOW_S = 10.0


def spend_all(budget, now):
    """Spend what the budget allows at once; return the number of extra sends."""
    spent = 0
    while budget.try_spend(now):
        spent += 1
    return spent


class ExtraBudgetTests(unittest.TestCase):
    def test_no_window_holds_more_than_the_allowance(self):
        for spent_at in (0.0, 0.4, 0.95, 1.0):
            with self.subTest(spent_at=spent_at):
                budget = ExtraBudget(0.0, 20.0, WINDOW_S)
                self.assertEqual(spend_all(budget, spent_at), 20)
                self.assertEqual(spend_all(budget, spent_at + WINDOW_S - 0.01), 0)
                self.assertEqual(spend_all(budget, spent_at + WINDOW_S + 1.0), 20)

    def test_any_window_of_a_steady_spender_stays_within_the_share(self):
        budget = ExtraBudget(0.2, 5.0, WINDOW_S)
        spent_times = []
        for step in range(6000):
            now = step / 100
            if step % 10 == 0:
                budget.add_sends(1, now)
            spent_times += [now] * spend_all(budget, now)
        max_in_window = max(
            sum(at <= later < at + WINDOW_S for later in spent_times)
            for at in spent_times
        )
        self.assertLessEqual(max_in_window, 0.2 * 10 * WINDOW_S + 5)
        self.assertGreater(len(spent_times), 0.8 * 0.2 * 600)

    def test_old_first_sends_expire(self):
        budget = ExtraBudget(0.2, 0.0, WINDOW_S)
        for now in range(1000):
            budget.add_sends(1, float(now))
        self.assertLessEqual(spend_all(budget, 999.5), 0.2 * 11)
        self.assertEqual(budget.spent_share(2000.0), 0.0)
