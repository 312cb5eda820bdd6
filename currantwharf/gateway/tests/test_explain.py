import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from currantwharf.cli import main
from currantwharf.cli.exit_code import ExitCode
from currantwharf.gateway.explain import describe, find_lines

PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def documented_examples():
    """Return the operators' page's examples as pairs of a log and its explanation."""
    blocks = PAGE.read_text().split("```")[1::2]
    logs = [b.partition("\n")[2] for b in blocks if b.startswith("log\n")]
    texts = [b.partition("\n")[2] for b in blocks if b.startswith("explained\n")]
    return list(zip(logs, texts, strict=True))


class ExplainTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "log"

    def test_examples_of_the_operators_page(self):
        self.assertGreaterEqual(len(documented_examples()), 3)
        for log, text in documented_examples():
            self.path.write_text(log)
            request_id = json.loads(log.splitlines()[0])["request_id"]
            lines = find_lines(request_id, [self.path])
            self.assertEqual("\n".join(map(describe, lines)), text.rstrip("\n"))

    def test_log_lines_of_queries_sent_to_a_hub(self):
        common = {"time": "1", "instance": "i", "hub": "10.0.0.9"}
        late = {"status": 200, "after_ms": 180.2, "late_ms": 13.1}
        failed = {"result": "timed_out", "query": "unconfirmed"}
        self.assertEqual(
            describe({**common, "message": "relay: answered late", **late}),
            "1 i relay: answered late: by hub 10.0.0.9 with status 200,"
            " 180.2 ms in, 13.1 ms late",
        )
        self.assertEqual(
            describe({**common, "message": "relay: hub failed", **failed}),
            "1 i relay: hub failed: timed_out at hub 10.0.0.9, query unconfirmed",
        )

    def test_log_lines_of_several_files_are_ordered_by_time(self):
        other = self.path.with_suffix(".2")
        late = {"time": "2", "message": "call: answered", "request_id": "r"}
        early = {"time": "1", "message": "call: not_run", "request_id": "r"}
        self.path.write_text(f"12.3 node {json.dumps(late)}\nnot json r\n")
        other.write_text(json.dumps(early) + "\n{broken r\n")
        found = find_lines("r", [self.path, other])
        self.assertEqual([line["time"] for line in found], ["1", "2"])

    def test_explain_command(self):
        self.path.write_text('{"request_id": "r1", "message": "call: answered"}\n')
        run = CliRunner().invoke(main, ["explain", "r1", str(self.path), "--json"])
        self.assertEqual(run.exit_code, ExitCode.OK)
        self.assertEqual(json.loads(run.output)[0]["request_id"], "r1")
        run = CliRunner().invoke(main, ["explain", "r2", str(self.path)])
        self.assertEqual(run.exit_code, ExitCode.FAILED)
