"""Packages: what is rejected, by name, with nothing left behind."""

import io
import json
import os
import tarfile

import pytest

from petrelway.worker.package import MANIFEST, PackageError, build, check, digest_of, read_manifest, unpack

MODEL = b"def run(body, call):\n    return body\n"
MANIFEST_FIELDS = {"name": "m", "version": "1", "entry": "model:run", "memory_mb": 50, "lanes": 2}


def made(tmp_path, **changes):
    folder = tmp_path / "src"
    (folder / "data").mkdir(parents=True, exist_ok=True)
    (folder / "model.py").write_bytes(MODEL)
    (folder / "data" / "table.bin").write_bytes(bytes(range(256)) * 600)
    (folder / "manifest.json").write_text(json.dumps({**MANIFEST_FIELDS, **changes}))
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
        **MANIFEST_FIELDS,
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


def test_manifests_that_are_rejected():
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


def test_archives_that_are_rejected(tmp_path):
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
