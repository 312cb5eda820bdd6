import os
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

# Stands in for Python: tells the kind of machine, and records what it is asked to do.
PYTHON = """#!/bin/sh
case "$1" in
-c) echo "$KIND" ;;
*) echo "$2" >> calls; [ "$2" = pip ] && { mkdir -p target/deps; exit "$PIP_CODE"; } ;;
esac
exit 0
"""


class BuildTests(unittest.TestCase):
    """The build of the deploy file, in a folder of its own."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        (self.root / "deploy").mkdir()
        (self.root / "deploy" / "requirements.txt").touch()
        os.utime(self.root / "deploy" / "requirements.txt", (1, 1))
        python = self.root / "python3"
        python.write_text(PYTHON)
        python.chmod(0o755)
        deploy_file = tomllib.loads(Path("deploy/system.toml").read_text())
        self.command = deploy_file["build"]

    def run_build(self, kind, pip_code=0):
        (self.root / "calls").write_text("")
        path = f"{self.root}:{os.environ['PATH']}"
        return subprocess.run(
            ["sh", "-c", self.command],
            cwd=self.root,
            env={"PATH": path, "KIND": kind, "PIP_CODE": str(pip_code)},
        ).returncode

    def build(self, kind):
        """Build on a kind of machine; return whether libraries were installed."""
        self.assertEqual(self.run_build(kind), 0)
        return "pip" in (self.root / "calls").read_text().split()

    def test_libraries_are_installed_once(self):
        self.assertTrue(self.build("cpython-311-x86_64"))
        self.assertFalse(self.build("cpython-311-x86_64"))

    def test_libraries_of_another_kind_of_machine_are_not_used(self):
        """Guards against a start with libraries that can't be loaded there."""
        self.build("cpython-311-x86_64")
        self.assertTrue(self.build("cpython-311-aarch64"))
        self.assertTrue(self.build("cpython-312-aarch64"))
        self.assertFalse(self.build("cpython-312-aarch64"))

    def test_build_fails_if_libraries_cannot_be_installed(self):
        """Guards against a build that succeeds and a start that cannot."""
        self.assertNotEqual(self.run_build("cpython-311-x86_64", pip_code=1), 0)
        self.assertTrue(self.build("cpython-311-x86_64"))

    def test_libraries_are_installed_anew_when_the_list_changes(self):
        self.build("cpython-311-x86_64")
        os.utime(self.root / "deploy" / "requirements.txt", None)
        os.utime(self.root / "target/deps/installed-cpython-311-x86_64", (1, 1))
        self.assertTrue(self.build("cpython-311-x86_64"))
