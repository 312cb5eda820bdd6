import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from currantwharf.cli import main
from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.query_command import describe
from currantwharf.demo.site_plan import encode
from currantwharf.tests.builders import make_config

UNUSED_ADDRESS = "127.0.0.1:1"  # a port that nothing listens on


class CommandTests(unittest.TestCase):
    def run_command(self, *arguments: str) -> Result:
        return CliRunner().invoke(main, list(arguments))

    def run_on_file(self, command: str, content: bytes, *options: str) -> Result:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "document"
            path.write_bytes(content)
            return self.run_command(command, str(path), *options)

    def test_every_command_has_help(self) -> None:
        for name in main.commands:
            found = self.run_command(name, "--help")
            self.assertEqual(found.exit_code, ExitCode.OK)
            self.assertIn("Usage:", found.output)

    def test_usage_settings_and_connection_errors_differ(self) -> None:
        codes = {
            self.run_command("serve").exit_code,
            self.run_on_file("check-settings", b"instance: 5").exit_code,
            self.run_command("status", "--address", UNUSED_ADDRESS).exit_code,
        }
        expected = {ExitCode.USAGE, ExitCode.SETTINGS, ExitCode.CONNECTION}
        self.assertEqual(codes, expected)

    def test_query_without_an_instance_is_a_connection_error(self) -> None:
        found = self.run_command(
            "query", "lookup", "longan", "--address", UNUSED_ADDRESS
        )
        self.assertEqual(found.exit_code, ExitCode.CONNECTION)

    def test_targets_are_told_with_what_gives_way(self) -> None:
        found = self.run_on_file("check-targets", encode(make_config()))
        self.assertEqual(found.exit_code, ExitCode.OK)
        self.assertIn("coverage gives way first", found.output)
        self.assertIn("latency gives way first", found.output)

    def test_bad_targets_name_every_problem(self) -> None:
        document = json.loads(encode(make_config()))
        for name in ("grain-lookup", "block-order"):
            document["classes"][name]["targets"]["latency_ms"] = -1
        found = self.run_on_file("check-targets", json.dumps(document).encode())
        self.assertEqual(found.exit_code, ExitCode.SETTINGS)
        self.assertEqual(found.output.count("latency_ms: found -1"), 2)

    def test_problems_are_told_to_a_script_as_json(self) -> None:
        found = self.run_on_file("check-settings", b"instance: 5", "--json")
        self.assertEqual(found.exit_code, ExitCode.SETTINGS)
        answer = json.loads(found.stdout)
        self.assertFalse(answer["valid"])
        self.assertEqual(answer["problems"][0]["path"], "instance")

    def test_completion_is_printed_for_each_shell(self) -> None:
        for shell in ("zsh", "fish"):
            found = self.run_command("completion", shell)
            self.assertIn("_CURRANTWHARF_COMPLETE", found.output)

    def test_answer_is_described_for_a_person(self) -> None:
        answer = {"outcome": "not_run", "error": {"type": "overloaded"}}
        self.assertEqual(describe(answer), "outcome: not_run\nerror: overloaded")
