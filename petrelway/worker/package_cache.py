"""Packages on the worker's disk: bounded, checked by digest on use, never half a file under a good name."""

from __future__ import annotations

import os
import re
import shutil
import tempfile
import threading
from collections import OrderedDict
from pathlib import Path

from .package import Manifest, PackageError, digest_of, unpack

NAME = re.compile(r"[0-9a-f]{64}\.tar\Z")


class Images:
    """A folder of DIGEST.tar files, the longest unused first to go, and `run/` with the files of copies."""

    def __init__(self, folder: Path, bound_mb: float) -> None:
        """Takes over what an earlier process left: whole files stay, half ones and copies' files go."""
        self.folder, self.bound = folder, int(bound_mb * 2**20)
        self.run = folder / "run"
        folder.mkdir(parents=True, exist_ok=True)
        shutil.rmtree(self.run, ignore_errors=True)
        self.run.mkdir()
        self.sizes: OrderedDict[str, int] = OrderedDict()
        self.pinned: dict[str, int] = {}
        self.hits = self.spoilt = 0
        # danger: keep and lay run in threads of a pool, several at a time; files are hashed outside of it
        self.lock = threading.Lock()
        kept = []
        for path in folder.iterdir():
            if NAME.match(path.name) and path.is_file() and not path.is_symlink():
                kept.append((path.stat().st_mtime_ns, path.name[:64], path.stat().st_size))
            elif path.name.startswith(".half-"):
                path.unlink(missing_ok=True)
        for _, digest, size in sorted(kept):
            self.sizes[digest] = size
        self._make_room(0)

    def path(self, digest: str) -> Path:
        return self.folder / f"{digest}.tar"

    def has(self, digest: str) -> bool:
        return digest in self.sizes

    def half(self) -> Path:
        """A new file to fetch into; `keep` or the one who fetches does away with it."""
        handle, name = tempfile.mkstemp(prefix=".half-", dir=self.folder)
        os.close(handle)
        return Path(name)

    def keep(self, half: Path, digest: str) -> None:
        """A fetched file, under its digest, checked. Raises PackageError; the half file goes either way."""
        try:
            found = digest_of(half)
            if found != digest:
                raise PackageError("fetched package", f"digest {found[:16]}...", f"{digest[:16]}...")
            with open(half, "rb") as file:
                os.fsync(file.fileno())
            size = half.stat().st_size
            with self.lock:
                self._make_room(size)
                os.replace(half, self.path(digest))
                self.sizes[digest] = size
        finally:
            half.unlink(missing_ok=True)

    def lay(self, digest: str, name: str) -> tuple[Path, Manifest]:
        """A copy's own folder of the package's files, checked on this use. Raises PackageError."""
        with self.lock:
            self.pinned[digest] = self.pinned.get(digest, 0) + 1
        try:
            target = self.run / name
            manifest = unpack(self.path(digest), digest, target)
            with self.lock:
                if digest in self.sizes:
                    self.sizes.move_to_end(digest)
                    os.utime(self.path(digest))
            return target, manifest
        except (PackageError, OSError) as fault:
            with self.lock:
                self.spoilt += 1
                self._drop(digest)  # it is fetched anew the next time
            if isinstance(fault, OSError):
                raise PackageError("image", str(fault), "a file that can be read") from fault
            raise
        finally:
            with self.lock:
                self.pinned[digest] -= 1
                if not self.pinned[digest]:
                    del self.pinned[digest]

    def leave(self, name: str) -> None:
        """A copy is gone: its files go."""
        shutil.rmtree(self.run / name, ignore_errors=True)

    def _make_room(self, size: int) -> None:
        for digest in list(self.sizes):
            if sum(self.sizes.values()) + size <= self.bound:
                return
            if digest not in self.pinned:
                self._drop(digest)

    def _drop(self, digest: str) -> None:
        self.sizes.pop(digest, None)
        self.path(digest).unlink(missing_ok=True)
