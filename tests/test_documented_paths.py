"""Every path that the page for newcomers and the README name exists."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("docs/architecture.md", "README.md")
IN_BACKTICKS = re.compile(r"`((?:petrelway|tests|docs|examples|deploy|benchmarks)/[\w./-]*)`")
IN_DIAGRAMS = re.compile(r"(?<![\w/`.])([a-z_]+/[a-z_]+\.py)\b")
LINKS = re.compile(r"\]\(([\w./-]+)\)")


def named_paths(page: str) -> set[Path]:
    """The paths that a page names: in backticks, in its diagrams (below the package), and as links."""
    text = (ROOT / page).read_text()
    found = {ROOT / path for path in IN_BACKTICKS.findall(text)}
    found |= {ROOT / "petrelway" / path for path in IN_DIAGRAMS.findall(text)}
    return found | {(ROOT / page).parent / link for link in LINKS.findall(text)}


@pytest.mark.parametrize("page", PAGES)
def test_each_path_that_a_page_names_exists(page):
    paths = named_paths(page)
    assert len(paths) > 5
    assert sorted(str(path.relative_to(ROOT)) for path in paths if not path.exists()) == []


def test_a_path_that_is_gone_is_found():
    text = "see `petrelway/gone.py`, [x](gone.md)\n    gone/file.py"
    assert IN_BACKTICKS.findall(text) == ["petrelway/gone.py"]
    assert LINKS.findall(text) == ["gone.md"]
    assert IN_DIAGRAMS.findall(text) == ["gone/file.py"]
