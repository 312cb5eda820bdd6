"""Another wire format to backend servers costs one adapter and no decision."""

import unittest

from twisted.internet.defer import succeed

from currantwharf.owner import BackendAnswer, BackendItem, CallResult, ItemOutcome
from currantwharf.tests.builders import make_body, make_plan
from currantwharf.tests.fake_world import FakeWorld
from currantwharf.wire import Cancel, Hit, Outcome, ShardRequest


def serve_lines(text: str) -> str:
    """Answer lines of `query|attempt|shard|version`, as another product might."""
    lines = []
    for line in text.splitlines():
        query, attempt, shard, version = line.split("|")
        lines.append(f"{query}|{attempt}|{shard}|{version}|ok|{shard}/doc|0.5")
    return "\n".join(lines)


class LineBackend:
    """Speak lines of text in place of JSON."""

    calls = 0

    async def send_requests(self, requests: tuple[ShardRequest, ...]) -> CallResult:
        text = "\n".join(
            f"{r.query}|{r.attempt}|{r.shard}|{r.index_version}" for r in requests
        )
        LineBackend.calls += 1
        answer = await succeed(serve_lines(text))
        items = []
        for line in answer.splitlines():
            query, attempt, shard, version, _, document, score = line.split("|")
            hits = (Hit(document, float(score)),)
            outcome = ItemOutcome.ANSWERED
            items.append(
                BackendItem(query, int(attempt), shard, version, outcome, hits)
            )
        return BackendAnswer("boot-1", tuple(items), 1.0)

    async def cancel(self, cancels: tuple[Cancel, ...]) -> None:
        return


class SwappedAdapterTests(unittest.TestCase):
    def test_queries_are_answered_over_another_wire_format(self) -> None:
        world = FakeWorld(make_plan(), make_backend=lambda declared: LineBackend())
        world.advance(7)
        sent = world.send("i0", make_body())
        world.advance(1)
        self.assertIs(sent.result.outcome, Outcome.ANSWERED)
        documents = {hit.document for hit in sent.result.hits}
        self.assertEqual(documents, {"camphor/0/doc", "longan/0/doc"})
        self.assertGreater(LineBackend.calls, 0)
