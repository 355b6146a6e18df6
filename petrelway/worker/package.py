"""Model packages: a tar whose first member is the manifest. docs/package.md has the format.

Nothing of a package is written before its manifest is read and the member's name, kind and size are checked
against it; what is refused leaves nothing behind.
"""

from __future__ import annotations

import hashlib
import io
import os
import re
import shutil
import tarfile
import tempfile
from pathlib import Path, PurePosixPath
from typing import Annotated, BinaryIO

import msgspec
from msgspec import Meta

MANIFEST = "manifest.json"
FORMAT = 1
MANIFEST_BYTES_BOUND = 1 << 20  # bytes
FILES_BOUND = 10_000
TOTAL_BYTES_BOUND = 16 << 30  # bytes of all files of a package
CHUNK_BYTES = 1 << 18
ENTRY = re.compile(r"[A-Za-z_][\w.]*:[A-Za-z_]\w*\Z")


class PackageError(Exception):
    """A package that can't be used: where, what was found, what is allowed."""

    def __init__(self, where: str, found: str, allowed: str) -> None:
        """Say where the fault is, what was found there, and what is allowed."""
        super().__init__(f"{where}: found {found}; allowed: {allowed}")
        self.where, self.found, self.allowed = where, found, allowed


class PackedFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Size and digest of one file, as the manifest lists it."""

    size: Annotated[int, Meta(ge=0, le=TOTAL_BYTES_BOUND)]
    sha256: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class Manifest(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What a package says of itself; `memory_mb` and `concurrency` are of one replica."""

    format: Annotated[int, Meta(ge=1)]
    name: Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    version: Annotated[str, Meta(min_length=1, max_length=100)]
    entry: str  # module:callable, taken from the package's files
    memory_mb: Annotated[float, Meta(gt=0, le=1e6)]
    concurrency: Annotated[int, Meta(ge=1, le=1024)] = msgspec.field(name="lanes")
    files: dict[str, PackedFile]


def read_manifest(raw: bytes) -> Manifest:
    """Decode and check a manifest. Raises PackageError."""
    try:
        manifest = msgspec.json.decode(raw, type=Manifest)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise PackageError(MANIFEST, str(error), "a manifest as docs/package.md says") from error
    if manifest.format != FORMAT:
        raise PackageError(f"{MANIFEST} format", str(manifest.format), str(FORMAT))
    if not ENTRY.match(manifest.entry):
        raise PackageError(f"{MANIFEST} entry", repr(manifest.entry), "module:callable")
    if len(manifest.files) > FILES_BOUND:
        raise PackageError(f"{MANIFEST} files", str(len(manifest.files)), f"{FILES_BOUND} at most")
    if sum(file.size for file in manifest.files.values()) > TOTAL_BYTES_BOUND:
        raise PackageError(f"{MANIFEST} files", "more bytes in all", f"{TOTAL_BYTES_BOUND} at most")
    for path in manifest.files:
        _check_path(path)
    module = manifest.entry.partition(":")[0].replace(".", "/")
    if not {f"{module}.py", f"{module}/__init__.py"} & set(manifest.files):
        raise PackageError(f"{MANIFEST} entry", f"{manifest.entry!r}, no such file", f"{module}.py in files")
    return manifest


def _check_path(path: str) -> None:
    parts = PurePosixPath(path).parts
    is_plain = (
        bool(path)
        and not path.startswith("/")
        and "\\" not in path
        and "\0" not in path
        and path == "/".join(parts)
    )
    if not is_plain or ".." in parts or path == MANIFEST or len(path) > 500:
        raise PackageError("a path", repr(path[:100]), "a plain relative path inside the package")


def build(folder: Path, target: Path) -> tuple[Manifest, str]:
    """Pack a folder that has a `manifest.json` without `files` into a file; the manifest and its digest.

    The same folder gives the same bytes. Raises PackageError; the target is then as it was.
    """
    try:
        declared = msgspec.json.decode((folder / MANIFEST).read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise PackageError(str(folder / MANIFEST), str(error), "a manifest in JSON") from error
    if not isinstance(declared, dict):
        raise PackageError(MANIFEST, type(declared).__name__, "an object")
    files = {}
    for path in sorted(folder.rglob("*")):
        name = path.relative_to(folder).as_posix()
        if "__pycache__" in path.parts or name == MANIFEST or (path.is_dir() and not path.is_symlink()):
            continue
        if path.is_symlink() or not path.is_file():
            raise PackageError(name, "a link or a special file", "regular files only")
        files[name] = {"size": path.stat().st_size, "sha256": digest_of(path)}
    declared = {"format": FORMAT, **declared, "files": files}
    raw = msgspec.json.format(msgspec.json.encode(declared, order="sorted"), indent=1)
    manifest = read_manifest(raw)
    target.parent.mkdir(parents=True, exist_ok=True)
    handle, partial = tempfile.mkstemp(prefix=".half-", dir=target.parent)
    try:
        with (
            os.fdopen(handle, "wb") as out,
            tarfile.open(fileobj=out, mode="w", format=tarfile.USTAR_FORMAT) as tar,
        ):
            _add(tar, MANIFEST, raw)
            for name in files:
                _add(tar, name, (folder / name).read_bytes())
        os.replace(partial, target)
    except BaseException:
        Path(partial).unlink(missing_ok=True)
        raise
    return manifest, digest_of(target)


def _add(tar: tarfile.TarFile, name: str, data: bytes) -> None:
    member = tarfile.TarInfo(name)
    member.size = len(data)
    member.mode = 0o644
    tar.addfile(member, io.BytesIO(data))


def digest_of(path: Path) -> str:
    """Return the sha256 of a file, in hex."""
    with open(path, "rb") as file:
        return hashlib.file_digest(file, "sha256").hexdigest()


def unpack(file: Path, digest: str | None, into: Path) -> Manifest:
    """Check a package and write its files into a new folder. Raises PackageError; nothing is left then."""
    if digest is not None and (found := digest_of(file)) != digest:
        raise PackageError(file.name, f"digest {found[:16]}...", f"{digest[:16]}..., as it was asked for")
    into.parent.mkdir(parents=True, exist_ok=True)
    partial = Path(tempfile.mkdtemp(prefix=".half-", dir=into.parent))
    try:
        manifest = _extract(file, partial)
        os.rename(partial, into)
    except BaseException:
        shutil.rmtree(partial, ignore_errors=True)
        raise
    return manifest


def check(file: Path) -> Manifest:
    """Make all checks of `unpack`, and keep nothing. Raises PackageError."""
    with tempfile.TemporaryDirectory(prefix="petrelway-check-") as folder:
        return unpack(file, None, Path(folder) / "files")


def _extract(file: Path, folder: Path) -> Manifest:
    try:
        with tarfile.open(file, mode="r:") as tar:
            first = tar.next()
            if first is None or first.name != MANIFEST or not first.isreg():
                raise PackageError("first member", repr(first.name if first else None), MANIFEST)
            if first.size > MANIFEST_BYTES_BOUND:
                raise PackageError(MANIFEST, f"{first.size} bytes", f"{MANIFEST_BYTES_BOUND} at most")
            manifest = read_manifest(_read_exactly(tar.extractfile(first), first.size))
            missing = dict(manifest.files)
            while (member := tar.next()) is not None:
                listed = missing.pop(member.name, None)
                if listed is None:
                    raise PackageError(member.name[:100], "a member", "those that the manifest lists, once")
                if not member.isreg():
                    raise PackageError(member.name, "a link or a special member", "regular files only")
                if member.size != listed.size:
                    raise PackageError(
                        member.name, f"{member.size} bytes", f"{listed.size}, as the manifest says"
                    )
                _write(tar.extractfile(member), folder / member.name, listed)
            if missing:
                raise PackageError(next(iter(missing)), "no such member", "all that the manifest lists")
            return manifest
    except (tarfile.TarError, EOFError, OSError, ValueError) as error:
        raise PackageError(file.name, str(error) or type(error).__name__, "a whole tar archive") from error


def _read_exactly(source: BinaryIO | None, size: int) -> bytes:
    data = source.read(size) if source is not None else b""
    if len(data) != size:
        raise PackageError("archive", "its end in the middle of a member", "a whole tar archive")
    return data


def _write(source: BinaryIO | None, target: Path, listed: PackedFile) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    found = hashlib.sha256()
    remaining_bytes = listed.size
    with open(target, "xb") as out:
        while remaining_bytes:
            data = _read_exactly(source, min(CHUNK_BYTES, remaining_bytes))
            found.update(data)
            out.write(data)
            remaining_bytes -= len(data)
    if found.hexdigest() != listed.sha256:
        raise PackageError(target.name, f"digest {found.hexdigest()[:16]}...", f"{listed.sha256[:16]}...")
