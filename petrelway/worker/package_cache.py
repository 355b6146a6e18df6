"""The package cache on the worker's disk: bounded, checked by digest on each use.

A partial file never stands under the name of a package.
"""

from __future__ import annotations

import os
import re
import shutil
import tempfile
import threading
from collections import OrderedDict
from pathlib import Path

from . import package
from .package import Manifest, PackageError, digest_of

PACKAGE_FILE_NAME = re.compile(r"[0-9a-f]{64}\.tar\Z")


class PackageCache:
    """A folder of DIGEST.tar files, evicted by least recent use, and `run/` with the files of replicas."""

    def __init__(self, folder: Path, bound_mb: float) -> None:
        """Take over what an earlier process left: complete files stay, all others go."""
        self.folder = folder
        self.bound_bytes = int(bound_mb * 2**20)
        self.unpacked_folder = folder / "run"
        folder.mkdir(parents=True, exist_ok=True)
        shutil.rmtree(self.unpacked_folder, ignore_errors=True)
        self.unpacked_folder.mkdir()
        self.sizes: OrderedDict[str, int] = OrderedDict()
        self.pinned: dict[str, int] = {}
        self.hits = 0
        self.corrupt = 0
        # add and unpack run in several threads at a time; files are hashed outside of the lock
        self.lock = threading.Lock()
        found = []
        for path in folder.iterdir():
            if PACKAGE_FILE_NAME.match(path.name) and path.is_file() and not path.is_symlink():
                found.append((path.stat().st_mtime_ns, path.name[:64], path.stat().st_size))
            elif path.name.startswith(".half-"):
                path.unlink(missing_ok=True)
        for _, digest, size in sorted(found):
            self.sizes[digest] = size
        self._evict_for(0)

    def path(self, digest: str) -> Path:
        """Return where a package is, if it is cached."""
        return self.folder / f"{digest}.tar"

    def has(self, digest: str) -> bool:
        """Say whether a package is cached."""
        return digest in self.sizes

    def new_partial_file(self) -> Path:
        """Create a file to fetch into; `add` or whoever fetches removes it."""
        handle, name = tempfile.mkstemp(prefix=".half-", dir=self.folder)
        os.close(handle)
        return Path(name)

    def add(self, partial: Path, digest: str) -> None:
        """Check a fetched file, add it under its digest and remove it. Raises PackageError."""
        try:
            found = digest_of(partial)
            if found != digest:
                raise PackageError("fetched package", f"digest {found[:16]}...", f"{digest[:16]}...")
            with open(partial, "rb") as file:
                os.fsync(file.fileno())
            size = partial.stat().st_size
            with self.lock:
                self._evict_for(size)
                os.replace(partial, self.path(digest))
                self.sizes[digest] = size
        finally:
            partial.unlink(missing_ok=True)

    def unpack(self, digest: str, name: str) -> tuple[Path, Manifest]:
        """Check a package and unpack it into a replica's own folder. Raises PackageError."""
        with self.lock:
            self.pinned[digest] = self.pinned.get(digest, 0) + 1
        try:
            target = self.unpacked_folder / name
            manifest = package.unpack(self.path(digest), digest, target)
            with self.lock:
                if digest in self.sizes:
                    self.sizes.move_to_end(digest)
                    os.utime(self.path(digest))
            return target, manifest
        except (PackageError, OSError) as error:
            with self.lock:
                self.corrupt += 1
                self._remove(digest)  # it is fetched anew the next time
            if isinstance(error, OSError):
                raise PackageError("cached package", str(error), "a file that can be read") from error
            raise
        finally:
            with self.lock:
                self.pinned[digest] -= 1
                if not self.pinned[digest]:
                    del self.pinned[digest]

    def remove_unpacked(self, name: str) -> None:
        """Remove the files of a replica that is gone."""
        shutil.rmtree(self.unpacked_folder / name, ignore_errors=True)

    def _evict_for(self, size: int) -> None:
        for digest in list(self.sizes):
            if sum(self.sizes.values()) + size <= self.bound_bytes:
                return
            if digest not in self.pinned:
                self._remove(digest)

    def _remove(self, digest: str) -> None:
        self.sizes.pop(digest, None)
        self.path(digest).unlink(missing_ok=True)
