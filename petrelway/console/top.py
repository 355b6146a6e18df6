"""The console in a terminal (textual): tables from the pages' JSON, sorted and filtered, with details."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from textual.app import App, ComposeResult
from textual.widgets import DataTable, Footer, Header, Input, Static, TabbedContent, TabPane

COLUMNS = {
    "executors": (
        "hall",
        "executor",
        "stage",
        "link",
        "in flight",
        "limit",
        "backlog ms",
        "pace",
        "resume",
    ),
    "functions": ("function", "waiting", "load ms", "mean ms", "asked s ago"),
    "triggers": ("id", "function", "tariff", "customer", "answer", "took ms"),
    "changes": ("s ago", "what", "detail"),
}


def shown(rows: list[dict[str, Any]], page: str, sort: int, down: bool, wanted: str) -> list[dict[str, Any]]:
    """The rows of a page that hold the wanted text, sorted by a column; numbers by size, the rest by name.

    >>> rows = [{"s ago": 10.0, "what": "b", "detail": ""}, {"s ago": 9.0, "what": "a", "detail": "x"}]
    >>> [r["what"] for r in shown(rows, "changes", 0, False, "")]
    ['a', 'b']
    >>> shown(rows, "changes", 0, False, "X")[0]["what"]
    'a'
    """
    columns = COLUMNS[page]
    kept = [
        r
        for r in rows
        if not wanted or wanted.lower() in " ".join(str(r.get(c, "")) for c in columns).lower()
    ]

    def key(row: dict[str, Any]):
        value = row.get(columns[sort % len(columns)], "")
        return (0, value, "") if isinstance(value, (int, float)) else (1, 0, str(value))

    return sorted(kept, key=key, reverse=down)


class Top(App):
    """Keys: s next column to sort by, r the other way round, / filter, enter details, q end."""

    BINDINGS = [
        ("s", "sort", "sort by next"),
        ("r", "turn", "reverse"),
        ("slash", "filter", "filter"),
        ("q", "quit", "end"),
    ]
    CSS = "#own { height: 2; } #detail { height: 8; border-top: solid; overflow-y: auto; }"

    def __init__(self, ask: Callable[..., Any], every_s: float) -> None:
        super().__init__()
        self.ask, self.every_s = ask, every_s
        self.sort: dict[str, int] = dict.fromkeys(COLUMNS, 0)
        self.down, self.wanted = False, ""
        self.rows: dict[str, list[dict[str, Any]]] = {}

    def compose(self) -> ComposeResult:
        yield Header()
        yield Static("", id="own")
        yield Input(placeholder="filter", id="filter")
        with TabbedContent(id="pages"):
            for page, columns in COLUMNS.items():
                with TabPane(page, id=page):
                    table: DataTable = DataTable(id=f"table-{page}", cursor_type="row")
                    table.add_columns(*columns)
                    yield table
        yield Static("", id="detail", markup=False)
        yield Footer()

    def on_mount(self) -> None:
        self.look()
        self.set_interval(self.every_s, self.look)

    def page(self) -> str:
        return self.query_one("#pages", TabbedContent).active or "executors"

    def look(self) -> None:
        page = self.page()
        own = self.ask("own")
        self.query_one("#own", Static).update(
            f"gives up: {own['gives up']}   lag {own['lag ms']} ms   open {own['open triggers']}   "
            f"waiting {own['held']}   loads {own['orders and loads']}   ready {own['executors ready']}"
        )
        self.rows[page] = self.ask(page)["rows"]
        self.fill(page)

    def fill(self, page: str) -> None:
        table = self.query_one(f"#table-{page}", DataTable)
        at = table.cursor_row
        table.clear()
        for row in shown(self.rows.get(page, []), page, self.sort[page], self.down, self.wanted):
            table.add_row(*(str(row.get(c, "")) for c in COLUMNS[page]))
        if table.row_count:
            table.move_cursor(row=min(at, table.row_count - 1))

    def on_tabbed_content_tab_activated(self, event) -> None:
        self.look()

    def on_input_changed(self, event: Input.Changed) -> None:
        self.wanted = event.value
        self.fill(self.page())

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        page = self.page()
        rows = shown(self.rows.get(page, []), page, self.sort[page], self.down, self.wanted)
        if event.cursor_row < len(rows):
            self.query_one("#detail", Static).update(json.dumps(rows[event.cursor_row], indent=1))

    def action_sort(self) -> None:
        self.sort[self.page()] += 1
        self.fill(self.page())

    def action_turn(self) -> None:
        self.down = not self.down
        self.fill(self.page())

    def action_filter(self) -> None:
        self.query_one("#filter", Input).focus()
