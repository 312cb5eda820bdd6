"""Build the one file that ships: the program and all its libraries, as a zip.

The file runs with Python 3.11 and unpacks nothing on a disk. Python imports pure
modules from the zip itself; extension modules are loaded from anonymous memory by
the loader that is put at the head of the archive.
"""

import sys
import zipfile
from importlib import metadata
from pathlib import Path, PurePosixPath

import click

MAIN = "tools/binary_main.py"
ROOT = "currantwharf"
SHEBANG = b"#!/usr/bin/env python3.11\n"
LEFT_OUT_PARTS = {"tests", "test", "__pycache__"}
LEFT_OUT_EXTRAS = "extra =="


def needed_distributions() -> set[str]:
    """Return the names of the libraries that the program needs, with theirs."""
    names: set[str] = set()
    open_names = [ROOT]
    while open_names:
        name = open_names.pop()
        for requirement in metadata.requires(name) or []:
            found = _installed(requirement)
            if found is not None and found not in names:
                names.add(found)
                open_names.append(found)
    return names


def _installed(requirement: str) -> str | None:
    if LEFT_OUT_EXTRAS in requirement and "tls" not in requirement:
        return None
    name = requirement.split(";")[0].strip()
    for mark in "[<>=!~( ":
        name = name.split(mark)[0]
    try:
        return metadata.distribution(name).metadata["Name"].lower()
    except metadata.PackageNotFoundError:
        return None


def files_of(name: str) -> list[tuple[str, Path]]:
    """Return the archive names and paths of a library's modules and its metadata."""
    found = []
    for file in metadata.distribution(name).files or []:
        parts = set(file.parts)
        if parts & LEFT_OUT_PARTS or file.parts[0] in ("..", "bin"):
            continue
        found.append((str(file), Path(str(file.locate()))))
    return found


def build(target: Path) -> int:
    """Write the archive to `target` and return its size in bytes."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            archive.write(MAIN, "__main__.py")
            for path in sorted(Path(ROOT).rglob("*")):
                if path.is_file() and not LEFT_OUT_PARTS & set(path.parts):
                    archive.write(path, str(path))
            for name in sorted(needed_distributions()):
                for inside, path in files_of(name):
                    if path.is_file():
                        archive.write(path, inside)
            _add_folders(archive)
    target.chmod(0o755)
    return target.stat().st_size


def _add_folders(archive: zipfile.ZipFile) -> None:
    """Add an entry for each folder; without it a namespace package is not found."""
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
