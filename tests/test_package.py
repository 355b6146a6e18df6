"""Packages and images: what is refused, by name, with nothing left behind."""

import io
import json
import os
import tarfile

import pytest

from petrelway.worker.package import MANIFEST, PackageError, build, check, digest_of, read_manifest, unpack
from petrelway.worker.package_cache import Images

MODEL = b"def run(body, call):\n    return body\n"
TOLD = {"name": "m", "version": "1", "entry": "model:run", "memory_mb": 50, "lanes": 2}


def made(tmp_path, **told):
    folder = tmp_path / "src"
    (folder / "data").mkdir(parents=True, exist_ok=True)
    (folder / "model.py").write_bytes(MODEL)
    (folder / "data" / "table.bin").write_bytes(bytes(range(256)) * 600)
    (folder / "manifest.json").write_text(json.dumps({**TOLD, **told}))
    file = tmp_path / "m.tar"
    return folder, file, build(folder, file)


def tar(path, members, manifest=None):
    """A hand-made archive: (name, data or a TarInfo) after the manifest."""
    with tarfile.open(path, "w") as out:
        for name, data in ([] if manifest is None else [(MANIFEST, json.dumps(manifest).encode())]) + members:
            if isinstance(data, tarfile.TarInfo):
                out.addfile(data)
                continue
            info = tarfile.TarInfo(name)
            info.size = len(data)
            out.addfile(info, io.BytesIO(data))
    return path


def listed(files):
    import hashlib

    return {
        "format": 1,
        **TOLD,
        "files": {
            name: {"size": len(data), "sha256": hashlib.sha256(data).hexdigest()}
            for name, data in files.items()
        },
    }


def test_build_check_unpack(tmp_path):
    folder, file, (manifest, digest) = made(tmp_path)
    assert set(manifest.files) == {"model.py", "data/table.bin"} and digest == digest_of(file)
    first = file.read_bytes()
    os.utime(folder / "model.py", (1, 1))
    assert build(folder, file)[1] == digest and file.read_bytes() == first  # the same folder, the same bytes
    assert check(file) == manifest
    unpack(file, digest, tmp_path / "out")
    assert (tmp_path / "out" / "model.py").read_bytes() == MODEL
    (folder / "link").symlink_to("/etc/hostname")
    with pytest.raises(PackageError, match="link"):
        build(folder, file)
    assert file.read_bytes() == first and not list(tmp_path.glob(".half-*"))


def test_manifests_that_are_refused():
    good = listed({"model.py": MODEL})
    table = [
        ({"format": 2}, "format"),
        ({"entry": "model"}, "entry"),
        ({"entry": "other:run"}, "no such file"),
        ({"entry": "os.system('x'):y"}, "entry"),
        ({"memory_mb": -1}, "memory_mb"),
        ({"lanes": 0}, "lanes"),
        ({"name": "../m"}, "name"),
        ({"extra": 1}, "extra"),
        ({"memory_mb": 1e9}, "memory_mb"),
        ({"files": {"/etc/x": good["files"]["model.py"]}}, "relative path"),
        ({"files": {"../x": good["files"]["model.py"]}}, "relative path"),
        ({"files": {"a/../../x": good["files"]["model.py"]}}, "relative path"),
        ({"files": {"a//b": good["files"]["model.py"]}}, "relative path"),
        ({"files": {"model.py": {"size": 1 << 60, "sha256": "0" * 64}}}, "size"),
        ({"files": {f"{i}.py": {"size": 1 << 33, "sha256": "0" * 64} for i in range(3)}}, "in all"),
        ({"files": {"model.py": {"size": 1, "sha256": "zz"}}}, "sha256"),
    ]
    for changes, word in table:
        with pytest.raises(PackageError, match=word):
            read_manifest(json.dumps({**good, **changes}).encode())
    for raw in (b"", b"[]", b"{", b"\xff"):
        with pytest.raises(PackageError, match="manifest"):
            read_manifest(raw)


def test_archives_that_are_refused(tmp_path):
    files = {"model.py": MODEL, "a.bin": b"x" * 5000}
    told, members = listed(files), list(files.items())
    link = tarfile.TarInfo("a.bin")
    link.type, link.linkname = tarfile.SYMTYPE, "/etc/hostname"
    hard = tarfile.TarInfo("a.bin")
    hard.type, hard.linkname = tarfile.LNKTYPE, "model.py"
    device = tarfile.TarInfo("a.bin")
    device.type = tarfile.CHRTYPE
    table = [
        (members, None, "first member"),
        ([], told, "no such member"),
        (members[:1], told, "no such member"),
        ([*members, ("more.py", b"1")], told, "once"),
        ([*members, members[0]], told, "once"),
        ([("../up.py", b"1"), *members], told, "once"),
        ([members[0], ("a.bin", link)], told, "link"),
        ([members[0], ("a.bin", hard)], told, "link"),
        ([members[0], ("a.bin", device)], told, "special"),
        ([members[0], ("a.bin", b"x" * 4999)], told, "4999 bytes"),
        ([members[0], ("a.bin", b"y" * 5000)], told, "digest"),
    ]
    for i, (some, manifest, word) in enumerate(table):
        file = tar(tmp_path / "bad.tar", some, manifest)
        with pytest.raises(PackageError, match=word):
            unpack(file, None, tmp_path / "out")
        assert sorted(p.name for p in tmp_path.iterdir()) == ["bad.tar"], i
    whole = tar(tmp_path / "bad.tar", members, told).read_bytes()
    for cut in (0, 10, 600, len(whole) // 2, 4000):
        (tmp_path / "bad.tar").write_bytes(whole[:cut])
        with pytest.raises(PackageError):
            unpack(tmp_path / "bad.tar", None, tmp_path / "out")
        assert sorted(p.name for p in tmp_path.iterdir()) == ["bad.tar"]
    for noise in (b"\x00" * 2000, b"PK\x03\x04" + b"x" * 2000, os.urandom(3000)):
        (tmp_path / "bad.tar").write_bytes(noise)
        with pytest.raises(PackageError):
            check(tmp_path / "bad.tar")


def test_one_byte_anywhere_is_seen(tmp_path):
    _, file, (_, digest) = made(tmp_path)
    whole = bytearray(file.read_bytes())
    for at in (0, 700, len(whole) // 2, len(whole) - 1):
        broken = bytearray(whole)
        broken[at] ^= 1
        file.write_bytes(broken)
        with pytest.raises(PackageError, match="digest"):
            unpack(file, digest, tmp_path / "out")


def test_images(tmp_path):
    packed = []
    for i in range(3):
        (tmp_path / str(i)).mkdir()
        _, file, (_, digest) = made(tmp_path / str(i), version=str(i))
        packed.append((file, digest))
    size = packed[0][0].stat().st_size
    images = Images(tmp_path / "images", 2.5 * size / 2**20)

    def keep(i):
        half = images.half()
        half.write_bytes(packed[i][0].read_bytes())
        images.keep(half, packed[i][1])

    keep(0), keep(1)
    images.lay(packed[0][1], "copy-1")  # used: the other one is the longest unused
    keep(2)
    assert [images.has(d) for _, d in packed] == [True, False, True]
    assert sum(images.sizes.values()) <= images.bound
    half = images.half()
    half.write_bytes(b"something else")
    with pytest.raises(PackageError, match="digest"):
        images.keep(half, packed[1][1])
    assert not half.exists() and not images.has(packed[1][1])
    spoilt = bytearray(images.path(packed[2][1]).read_bytes())
    spoilt[-1] ^= 1
    images.path(packed[2][1]).write_bytes(spoilt)
    with pytest.raises(PackageError, match="digest"):
        images.lay(packed[2][1], "copy-2")  # checked on use, and fetched anew the next time
    assert not images.has(packed[2][1]) and not images.path(packed[2][1]).exists()
    left = images.half()  # killed here: the next process takes over
    (tmp_path / "images" / "note.txt").write_text("not ours")
    again = Images(tmp_path / "images", 100.0)
    assert [again.has(d) for _, d in packed] == [True, False, False] and not left.exists()
    assert not list(again.run.iterdir()) and (tmp_path / "images" / "note.txt").exists()
    images.path(packed[0][1]).unlink()
    with pytest.raises(PackageError, match="archive|can be read|No such"):
        again.lay(packed[0][1], "copy-3")
    small = Images(tmp_path / "images", 0.000001)
    assert not small.sizes
