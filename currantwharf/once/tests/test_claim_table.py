import unittest

from currantwharf.fleet import InstanceList, ListedInstance, top
from currantwharf.once import HOLDERS, MAJORITY, ClaimTable, HolderHistory
from currantwharf.once.holders import RETENTION_S, SETTLE_S
from currantwharf.wire import Claim, ClaimResult, Reason

ISSUED = 100.0


def make_list(*names: str) -> InstanceList:
    return InstanceList(1, {name: ListedInstance(name, "taipei") for name in names})


def make_history(name: str = "i0", started_at: float = 0.0) -> HolderHistory:
    history = HolderHistory(name, started_at)
    history.adopt_list(make_list("i0", "i1", "i2"), started_at)
    return history


def make_claim(
    token: str = "t1", digest: str = "d", issued_at: float = ISSUED
) -> Claim:
    return Claim("order-1", token, issued_at, digest)


class ClaimTableTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ClaimTable("i0", make_history())

    def test_first_try_is_granted_and_no_other(self) -> None:
        self.assertTrue(self.table.claim(make_claim("t1"), True, ISSUED).granted)
        self.assertTrue(self.table.claim(make_claim("t1"), True, ISSUED).granted)
        refused = self.table.claim(make_claim("t2"), True, ISSUED)
        self.assertIs(refused.reason, Reason.ALREADY_CLAIMED)

    def test_answer_is_kept_for_the_next_try(self) -> None:
        self.table.claim(make_claim("t1"), True, ISSUED)
        self.table.finish(ClaimResult("order-1", "t1", True, "{}"))
        refused = self.table.claim(make_claim("t2"), True, ISSUED + 1)
        self.assertEqual(refused.answer, "{}")

    def test_claim_is_given_back_only_by_its_own_try(self) -> None:
        self.table.claim(make_claim("t1"), True, ISSUED)
        self.table.finish(ClaimResult("order-1", "t2", False))
        self.assertFalse(self.table.claim(make_claim("t3"), True, ISSUED).granted)
        self.table.finish(ClaimResult("order-1", "t1", False))
        self.assertTrue(self.table.claim(make_claim("t3"), True, ISSUED).granted)

    def test_id_with_another_body_is_refused(self) -> None:
        self.table.claim(make_claim("t1", "d1"), True, ISSUED)
        refused = self.table.claim(make_claim("t2", "d2"), True, ISSUED)
        self.assertIs(refused.reason, Reason.ID_REUSED)

    def test_instance_younger_than_the_request_gives_no_claim(self) -> None:
        table = ClaimTable("i0", make_history(started_at=ISSUED - SETTLE_S / 2))
        refused = table.claim(make_claim(), True, ISSUED)
        self.assertIs(refused.reason, Reason.CLAIM_REFUSED)

    def test_request_older_than_the_memory_gives_no_claim(self) -> None:
        refused = self.table.claim(make_claim(), True, ISSUED + RETENTION_S)
        self.assertFalse(refused.granted)

    def test_claim_outlives_every_request_that_could_be_granted(self) -> None:
        self.table.claim(make_claim("t1"), True, ISSUED)
        for age in range(0, int(2 * RETENTION_S)):
            again = self.table.claim(make_claim("t2"), True, ISSUED + age)
            self.assertFalse(again.granted, age)

    def test_cut_off_instance_gives_no_claim(self) -> None:
        self.assertFalse(self.table.claim(make_claim(), False, ISSUED).granted)


class HolderHistoryTests(unittest.TestCase):
    def test_two_tries_under_two_lists_never_both_have_a_majority(self) -> None:
        names = [f"i{number}" for number in range(8)]
        for gone in (1, 2, 3):
            old, new = names[: 8 - gone], names[gone:]
            for number in range(200):
                grants = self.grants(f"order-{number}", names, old, new)
                self.assertLess(min(grants), MAJORITY, (gone, number, grants))

    def grants(
        self, request: str, names: list[str], old: list[str], new: list[str]
    ) -> list[int]:
        """Count the grants to a try by the old list and to a try by the new one."""
        tables = {}
        for name in names:
            history = HolderHistory(name, 0.0)
            history.adopt_list(make_list(*old), 0.0)
            if name in new:
                # The instances that the list dropped have not heard of it yet.
                history.adopt_list(make_list(*new), ISSUED - 1)
            tables[name] = ClaimTable(name, history)
        counts = []
        for token, listed in (("t1", old), ("t2", new)):
            claim = Claim(request, token, ISSUED, "d")
            holders = top(request, listed, HOLDERS)
            replies = [tables[h].claim(claim, True, ISSUED) for h in holders]
            counts.append(sum(reply.granted for reply in replies))
        return counts

    def test_instance_that_is_no_holder_has_no_since(self) -> None:
        history = make_history("stranger")
        self.assertIsNone(history.holder_since("order-1"))

    def test_break_in_the_lists_counts_from_the_return(self) -> None:
        history = make_history("i0")
        history.adopt_list(make_list("i1", "i2", "i3"), 10.0)
        history.adopt_list(make_list("i0", "i1", "i2"), 20.0)
        self.assertEqual(history.holder_since("order-1"), 20.0)
