import unittest

from currantwharf.tests.soak.soak import run_soak

SEEDS = (1,)  # seeds that have failed are added here, with a line on the cause
FAULTS_S = 8.0


class SoakTests(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        for number, seed in enumerate(SEEDS):
            with self.subTest(seed=seed):
                violations, outcomes, _ = run_soak(seed, FAULTS_S, 25000 + 20 * number)
                self.assertEqual(violations, [])
                self.assertGreater(outcomes["lookup 200"], 50)
