import unittest

from currantwharf.owner import (
    BackendAnswer,
    BackendItem,
    CallFailed,
    ItemOutcome,
    build_answers,
)
from currantwharf.tests.builders import make_shard_request
from currantwharf.wire import Outcome, Reason

REQUEST = make_shard_request("q1", 3)


def answer_to(item: BackendItem):  # noqa: ANN201
    result = BackendAnswer("boot-1", (item,), 5.0)
    return build_answers((REQUEST,), result, 0)[0]


class ShardAnswersTests(unittest.TestCase):
    def test_matching_item_is_an_answer(self) -> None:
        item = BackendItem("q1", 3, "camphor/0", "index-1", ItemOutcome.ANSWERED)
        self.assertIs(answer_to(item).outcome, Outcome.ANSWERED)

    def test_crossed_and_wrong_items_are_no_answers(self) -> None:
        for item in (
            BackendItem("q2", 3, "camphor/0", "index-1", ItemOutcome.ANSWERED),
            BackendItem("q1", 2, "camphor/0", "index-1", ItemOutcome.ANSWERED),
            BackendItem("q1", 3, "longan/0", "index-1", ItemOutcome.ANSWERED),
            BackendItem("q1", 3, "camphor/0", "index-2", ItemOutcome.ANSWERED),
        ):
            found = answer_to(item)
            self.assertEqual(
                (found.outcome, found.reason), (Outcome.UNKNOWN, Reason.BAD_ANSWER)
            )

    def test_truncated_answer_leaves_the_rest_unknown(self) -> None:
        other = make_shard_request("q2", 1)
        item = BackendItem("q1", 3, "camphor/0", "index-1", ItemOutcome.ANSWERED)
        result = BackendAnswer("boot-1", (item,), 5.0)
        found = build_answers((REQUEST, other), result, 0)
        self.assertEqual(
            [a.outcome for a in found], [Outcome.ANSWERED, Outcome.UNKNOWN]
        )

    def test_only_a_call_that_never_left_proves_not_run(self) -> None:
        for sent, outcome in ((False, Outcome.NOT_RUN), (True, Outcome.UNKNOWN)):
            (found,) = build_answers((REQUEST,), CallFailed(sent), 0)
            self.assertIs(found.outcome, outcome)

    def test_failure_inside_the_server_is_unknown(self) -> None:
        item = BackendItem("q1", 3, "camphor/0", "index-1", ItemOutcome.FAILED)
        self.assertIs(answer_to(item).outcome, Outcome.UNKNOWN)
