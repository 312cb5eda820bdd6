import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from currantwharf.cli import main
from currantwharf.cli.exit_code import ExitCode
from currantwharf.cli.query_command import format_answer
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

    def test_every_command_prints_help(self) -> None:
        for name in main.commands:
            result = self.run_command(name, "--help")
            self.assertEqual(result.exit_code, ExitCode.OK)
            self.assertIn("Usage:", result.output)

    def test_usage_settings_and_connection_errors_have_own_exit_codes(self) -> None:
        codes = {
            self.run_command("serve").exit_code,
            self.run_on_file("check-settings", b"instance: 5").exit_code,
            self.run_command("status", "--address", UNUSED_ADDRESS).exit_code,
        }
        expected = {ExitCode.USAGE, ExitCode.SETTINGS, ExitCode.CONNECTION}
        self.assertEqual(codes, expected)

    def test_query_without_an_instance_is_a_connection_error(self) -> None:
        result = self.run_command(
            "query", "lookup", "longan", "--address", UNUSED_ADDRESS
        )
        self.assertEqual(result.exit_code, ExitCode.CONNECTION)

    def test_check_targets_prints_which_target_gives_way(self) -> None:
        result = self.run_on_file("check-targets", encode(make_config()))
        self.assertEqual(result.exit_code, ExitCode.OK)
        self.assertIn("coverage gives way first", result.output)
        self.assertIn("latency gives way first", result.output)

    def test_check_targets_prints_every_problem(self) -> None:
        document = json.loads(encode(make_config()))
        for name in ("grain-lookup", "block-order"):
            document["classes"][name]["targets"]["latency_ms"] = -1
        result = self.run_on_file("check-targets", json.dumps(document).encode())
        self.assertEqual(result.exit_code, ExitCode.SETTINGS)
        self.assertEqual(result.output.count("latency_ms: found -1"), 2)

    def test_problems_are_printed_as_json(self) -> None:
        result = self.run_on_file("check-settings", b"instance: 5", "--json")
        self.assertEqual(result.exit_code, ExitCode.SETTINGS)
        answer = json.loads(result.stdout)
        self.assertFalse(answer["valid"])
        self.assertEqual(answer["problems"][0]["path"], "instance")

    def test_completion_is_printed_for_each_shell(self) -> None:
        for shell in ("zsh", "fish"):
            result = self.run_command("completion", shell)
            self.assertIn("_CURRANTWHARF_COMPLETE", result.output)

    def test_answer_is_formatted_as_lines(self) -> None:
        answer = {"outcome": "not_run", "error": {"type": "overloaded"}}
        self.assertEqual(format_answer(answer), "outcome: not_run\nerror: overloaded")
