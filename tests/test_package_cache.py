"""The package cache: bounded, checked on use, taken over from an earlier process."""

import json

import pytest

from petrelway.worker.package import PackageError, build
from petrelway.worker.package_cache import PackageCache


def build_package(folder, version):
    source = folder / "src"
    (source / "data").mkdir(parents=True)
    (source / "model.py").write_bytes(b"def run(body, call):\n    return body\n")
    (source / "data" / "table.bin").write_bytes(bytes(range(256)) * 600)
    manifest = {"name": "m", "version": version, "entry": "model:run", "memory_mb": 50, "lanes": 2}
    (source / "manifest.json").write_text(json.dumps(manifest))
    file = folder / "m.tar"
    _, digest = build(source, file)
    return file, digest


def test_package_cache(tmp_path):
    packed = []
    for i in range(3):
        (tmp_path / str(i)).mkdir()
        packed.append(build_package(tmp_path / str(i), str(i)))
    size = packed[0][0].stat().st_size
    cache = PackageCache(tmp_path / "images", 2.5 * size / 2**20)

    def add(i):
        partial = cache.new_partial_file()
        partial.write_bytes(packed[i][0].read_bytes())
        cache.add(partial, packed[i][1])

    add(0), add(1)
    cache.unpack(packed[0][1], "copy-1")  # used: the other one is the least recently used
    add(2)
    assert [cache.has(digest) for _, digest in packed] == [True, False, True]
    assert sum(cache.sizes.values()) <= cache.bound_bytes
    partial = cache.new_partial_file()
    partial.write_bytes(b"something else")
    with pytest.raises(PackageError, match="digest"):
        cache.add(partial, packed[1][1])
    assert not partial.exists() and not cache.has(packed[1][1])
    corrupt = bytearray(cache.path(packed[2][1]).read_bytes())
    corrupt[-1] ^= 1
    cache.path(packed[2][1]).write_bytes(corrupt)
    with pytest.raises(PackageError, match="digest"):
        cache.unpack(packed[2][1], "copy-2")  # checked on use, and fetched anew the next time
    assert not cache.has(packed[2][1]) and not cache.path(packed[2][1]).exists()
    left = cache.new_partial_file()  # killed here: the next process takes over
    (tmp_path / "images" / "note.txt").write_text("not ours")
    again = PackageCache(tmp_path / "images", 100.0)
    assert [again.has(digest) for _, digest in packed] == [True, False, False] and not left.exists()
    assert not list(again.unpacked_folder.iterdir()) and (tmp_path / "images" / "note.txt").exists()
    cache.path(packed[0][1]).unlink()
    with pytest.raises(PackageError, match="archive|can be read|No such"):
        again.unpack(packed[0][1], "copy-3")
    small = PackageCache(tmp_path / "images", 0.000001)
    assert not small.sizes
