"""Start the program from its one file.

Python can import pure modules from a zip, but not extension modules: the system's
loader wants a file. This module reads each one from the zip into an anonymous file
in memory, private to this process, and loads it from there. Nothing is written to a
disk and no process is started.
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


class MemoryExtensions(importlib.abc.MetaPathFinder):
    """Find extension modules inside the archive."""

    def __init__(self, archive: str) -> None:
        self._zip = zipfile.ZipFile(archive)
        self._names = {
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
        """Return the spec of an extension module, loaded from memory."""
        inside = self._names.get(fullname)
        if inside is None:
            return None
        handle = os.memfd_create(inside)
        with os.fdopen(os.dup(handle), "wb") as stream:
            stream.write(self._zip.read(inside))
        file = f"/proc/self/fd/{handle}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, file)
        return importlib.util.spec_from_file_location(fullname, file, loader=loader)


def main() -> None:
    """Make the archive importable and run the command line."""
    archive = sys.path[0]
    sys.meta_path.insert(0, MemoryExtensions(archive))
    from currantwharf.cli import main as command_line

    command_line(prog_name="currantwharf")


main()
