import unittest

from currantwharf.fleet import InstanceList, ListedInstance, top
from currantwharf.once import HOLDER_COUNT, MAJORITY, ClaimTable, HolderHistory
from currantwharf.once.holders import CLAIM_RETENTION_S, HOLDER_SETTLE_S
from currantwharf.wire import Claim, ClaimResult, Reason

ISSUED_AT = 100.0


def make_list(*names: str) -> InstanceList:
    return InstanceList(1, {name: ListedInstance(name, "taipei") for name in names})


def make_history(name: str = "i0", started_at: float = 0.0) -> HolderHistory:
    history = HolderHistory(name, started_at)
    history.adopt_list(make_list("i0", "i1", "i2"), started_at)
    return history


def make_claim(
    token: str = "t1", digest: str = "d", issued_at: float = ISSUED_AT
) -> Claim:
    return Claim("order-1", token, issued_at, digest)


class ClaimTableTests(unittest.TestCase):
    def setUp(self) -> None:
        self.table = ClaimTable("i0", make_history())

    def test_first_attempt_is_granted_and_no_other(self) -> None:
        self.assertTrue(self.table.claim(make_claim("t1"), True, ISSUED_AT).granted)
        self.assertTrue(self.table.claim(make_claim("t1"), True, ISSUED_AT).granted)
        refused = self.table.claim(make_claim("t2"), True, ISSUED_AT)
        self.assertIs(refused.reason, Reason.ALREADY_CLAIMED)

    def test_answer_is_stored_for_the_next_attempt(self) -> None:
        self.table.claim(make_claim("t1"), True, ISSUED_AT)
        self.table.finish(ClaimResult("order-1", "t1", True, "{}"))
        refused = self.table.claim(make_claim("t2"), True, ISSUED_AT + 1)
        self.assertEqual(refused.answer, "{}")

    def test_claim_is_released_only_by_its_own_attempt(self) -> None:
        self.table.claim(make_claim("t1"), True, ISSUED_AT)
        self.table.finish(ClaimResult("order-1", "t2", False))
        self.assertFalse(self.table.claim(make_claim("t3"), True, ISSUED_AT).granted)
        self.table.finish(ClaimResult("order-1", "t1", False))
        self.assertTrue(self.table.claim(make_claim("t3"), True, ISSUED_AT).granted)

    def test_id_with_another_body_is_refused(self) -> None:
        self.table.claim(make_claim("t1", "d1"), True, ISSUED_AT)
        refused = self.table.claim(make_claim("t2", "d2"), True, ISSUED_AT)
        self.assertIs(refused.reason, Reason.ID_REUSED)

    def test_instance_younger_than_the_request_refuses_the_claim(self) -> None:
        table = ClaimTable(
            "i0", make_history(started_at=ISSUED_AT - HOLDER_SETTLE_S / 2)
        )
        refused = table.claim(make_claim(), True, ISSUED_AT)
        self.assertIs(refused.reason, Reason.CLAIM_REFUSED)

    def test_request_older_than_the_retention_is_refused(self) -> None:
        refused = self.table.claim(make_claim(), True, ISSUED_AT + CLAIM_RETENTION_S)
        self.assertFalse(refused.granted)

    def test_claim_outlives_every_request_that_could_be_granted(self) -> None:
        self.table.claim(make_claim("t1"), True, ISSUED_AT)
        for age in range(0, int(2 * CLAIM_RETENTION_S)):
            reply = self.table.claim(make_claim("t2"), True, ISSUED_AT + age)
            self.assertFalse(reply.granted, age)

    def test_instance_without_a_majority_refuses_the_claim(self) -> None:
        self.assertFalse(self.table.claim(make_claim(), False, ISSUED_AT).granted)


class HolderHistoryTests(unittest.TestCase):
    def test_two_attempts_under_two_lists_never_both_get_a_majority(self) -> None:
        names = [f"i{number}" for number in range(8)]
        for gone in (1, 2, 3):
            old, new = names[: 8 - gone], names[gone:]
            for number in range(200):
                grants = self.count_grants(f"order-{number}", names, old, new)
                self.assertLess(min(grants), MAJORITY, (gone, number, grants))

    def count_grants(
        self, request_id: str, names: list[str], old: list[str], new: list[str]
    ) -> list[int]:
        """Count the grants for attempts under the old list and under the new list."""
        tables = {}
        for name in names:
            history = HolderHistory(name, 0.0)
            history.adopt_list(make_list(*old), 0.0)
            if name in new:
                # Instances that the new list drops have not received it yet.
                history.adopt_list(make_list(*new), ISSUED_AT - 1)
            tables[name] = ClaimTable(name, history)
        counts = []
        for token, listed in (("t1", old), ("t2", new)):
            claim = Claim(request_id, token, ISSUED_AT, "d")
            holders = top(request_id, listed, HOLDER_COUNT)
            replies = [tables[h].claim(claim, True, ISSUED_AT) for h in holders]
            counts.append(sum(reply.granted for reply in replies))
        return counts

    def test_held_since_is_none_for_other_instances(self) -> None:
        history = make_history("stranger")
        self.assertIsNone(history.get_held_since("order-1"))

    def test_holding_restarts_when_the_instance_returns_to_the_list(self) -> None:
        history = make_history("i0")
        history.adopt_list(make_list("i1", "i2", "i3"), 10.0)
        history.adopt_list(make_list("i0", "i1", "i2"), 20.0)
        self.assertEqual(history.get_held_since("order-1"), 20.0)
