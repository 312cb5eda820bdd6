import unittest

from currantwharf.policy.extra_budget import ExtraBudget

WINDOW_S = 10.0


def takes(budget, now):
    """Return how many extra sends the budget allows at once."""
    taken = 0
    while budget.try_spend(now):
        taken += 1
    return taken


class ExtraBudgetTests(unittest.TestCase):
    def test_no_window_holds_more_than_the_allowance(self):
        for spent_at in (0.0, 0.4, 0.95, 1.0):
            with self.subTest(spent_at=spent_at):
                budget = ExtraBudget(0.0, 20.0, WINDOW_S)
                self.assertEqual(takes(budget, spent_at), 20)
                self.assertEqual(takes(budget, spent_at + WINDOW_S - 0.01), 0)
                self.assertEqual(takes(budget, spent_at + WINDOW_S + 1.0), 20)

    def test_any_window_of_a_steady_spender_keeps_to_the_share(self):
        budget = ExtraBudget(0.2, 5.0, WINDOW_S)
        spent_share = []
        for step in range(6000):
            now = step / 100
            if step % 10 == 0:
                budget.add_sends(1, now)
            spent_share += [now] * takes(budget, now)
        most = max(
            sum(at <= later < at + WINDOW_S for later in spent_share)
            for at in spent_share
        )
        self.assertLessEqual(most, 0.2 * 10 * WINDOW_S + 5)
        self.assertGreater(len(spent_share), 0.8 * 0.2 * 600)

    def test_first_sends_are_not_kept_for_ever(self):
        budget = ExtraBudget(0.2, 0.0, WINDOW_S)
        for now in range(1000):
            budget.add_sends(1, float(now))
        self.assertLessEqual(takes(budget, 999.5), 0.2 * 11)
        self.assertEqual(budget.spent_share(2000.0), 0.0)
