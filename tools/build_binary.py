"""Build the single-file program: a zip archive of the program and all its libraries.

The file runs with Python 3.11 and unpacks nothing to disk. Python imports pure modules
from the archive directly; `binary_main.py`, the entry point of the archive, loads
extension modules from memory.
"""

import sys
import zipfile
from importlib import metadata
from pathlib import Path, PurePosixPath

import click

ENTRY_POINT = "tools/binary_main.py"
PACKAGE = "currantwharf"
SHEBANG = b"#!/usr/bin/env python3.11\n"
EXCLUDED_FOLDERS = {"tests", "test", "__pycache__"}
EXTRA_MARKER = "extra =="


def find_required_distributions() -> set[str]:
    """Return the names of all libraries that the program requires, transitively."""
    names: set[str] = set()
    pending = [PACKAGE]
    while pending:
        name = pending.pop()
        for requirement in metadata.requires(name) or []:
            required = _find_installed(requirement)
            if required is not None and required not in names:
                names.add(required)
                pending.append(required)
    return names


def _find_installed(requirement: str) -> str | None:
    """Return the name of the installed library that a requirement names, or None.

    The requirements of extras are skipped, except those of extras for TLS.
    """
    if EXTRA_MARKER in requirement and "tls" not in requirement:
        return None
    name = requirement.split(";")[0].strip()
    for delimiter in "[<>=!~( ":
        name = name.split(delimiter)[0]
    try:
        return metadata.distribution(name).metadata["Name"].lower()
    except metadata.PackageNotFoundError:
        return None


def list_files(name: str) -> list[tuple[str, Path]]:
    """Return the archive path and the disk path of each file of a library.

    Its metadata is included; its tests and scripts are not.
    """
    entries = []
    for file in metadata.distribution(name).files or []:
        parts = set(file.parts)
        if parts & EXCLUDED_FOLDERS or file.parts[0] in ("..", "bin"):
            continue
        entries.append((str(file), Path(str(file.locate()))))
    return entries


def build(target: Path) -> int:
    """Write the archive to `target` and return its size in bytes."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            archive.write(ENTRY_POINT, "__main__.py")
            for path in sorted(Path(PACKAGE).rglob("*")):
                if path.is_file() and not EXCLUDED_FOLDERS & set(path.parts):
                    archive.write(path, str(path))
            for name in sorted(find_required_distributions()):
                for archive_path, path in list_files(name):
                    if path.is_file():
                        archive.write(path, archive_path)
            _add_folders(archive)
    target.chmod(0o755)
    return target.stat().st_size


def _add_folders(archive: zipfile.ZipFile) -> None:
    """Add an entry for each folder; without one a namespace package is not found."""
    folders = {
        parent.as_posix() + "/"
        for name in archive.namelist()
        for parent in PurePosixPath(name).parents
        if parent.name
    }
    for folder in sorted(folders - set(archive.namelist())):
        archive.writestr(folder, b"")


if __name__ == "__main__":
    size = build(Path(sys.argv[1]))
    click.echo(f"{sys.argv[1]}: {size / 1e6:.1f} MB")
