import tempfile
import unittest
from pathlib import Path

from currantwharf.settings import load_settings

VALID = """
instance: i1
data_centre: taipei
host: 127.0.0.1
caller_port: 1
peer_port: 2
operator_port: 3
platform: 127.0.0.1:4
"""


class LoadSettingsTests(unittest.TestCase):
    def load(self, text: str):  # noqa: ANN201
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            path.write_text(text)
            return load_settings(path)

    def test_valid_settings(self) -> None:
        settings = self.load(VALID).unwrap()
        self.assertEqual((settings.instance, settings.stop_within_s), ("i1", 30.0))

    def test_every_problem_names_file_path_value_and_allowed(self) -> None:
        text = VALID.replace("caller_port: 1", "caller_prot: 1") + "log_level: loud\n"
        lines = str(self.load(text).unwrap_err()).splitlines()
        self.assertEqual(len(lines), 3)
        for line in lines:
            self.assertRegex(line, r"settings\.yaml: \w+: found .*; allowed: ")
        self.assertIn("did you mean 'caller_port'?", "\n".join(lines))

    def test_broken_yaml_and_missing_file_are_problems(self) -> None:
        self.assertIn("a YAML mapping", str(self.load("a: [").unwrap_err()))
        missing = load_settings(Path("/nowhere/at/all.yaml"))
        self.assertIn("a readable UTF-8 file", str(missing.unwrap_err()))

    def test_empty_file_is_reported_as_not_a_mapping(self) -> None:
        self.assertIn("a mapping", str(self.load("").unwrap_err()))
