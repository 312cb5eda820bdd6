"""Entry point of the single-file program.

Python imports pure modules from a zip archive, but not extension modules, because the
dynamic loader of the system needs a file. Each extension module is therefore read from
the archive into an anonymous in-memory file, private to this process, and loaded from
there. Nothing is written to disk and no process is started.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile
from collections.abc import Sequence
from types import ModuleType

SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)


class ExtensionModuleFinder(importlib.abc.MetaPathFinder):
    """Finds the extension modules in the archive and loads them from memory."""

    def __init__(self, archive: str) -> None:
        self._zip = zipfile.ZipFile(archive)
        self._paths_by_module = {
            name[: -len(suffix)].replace("/", "."): name
            for name in self._zip.namelist()
            for suffix in SUFFIXES
            if name.endswith(suffix)
        }

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of an extension module that is in the archive, else None."""
        archive_path = self._paths_by_module.get(fullname)
        if archive_path is None:
            return None
        descriptor = os.memfd_create(archive_path)
        with os.fdopen(os.dup(descriptor), "wb") as stream:
            stream.write(self._zip.read(archive_path))
        memory_file = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, memory_file)
        return importlib.util.spec_from_file_location(
            fullname, memory_file, loader=loader
        )


def main() -> None:
    """Make the archive importable and run the command line."""
    archive = sys.path[0]
    sys.meta_path.insert(0, ExtensionModuleFinder(archive))
    from currantwharf.cli import main as command_line

    command_line(prog_name="currantwharf")


main()
