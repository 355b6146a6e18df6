"""The terminal view on a made-up console: tables, sort, filter, details."""

import asyncio

from textual.widgets import DataTable, Static

from petrelway.console.top import Top

PAGES = {
    "own": {"gives up": "all well", "lag ms": 1.0, "open triggers": 2, "held": 0, "orders and loads": 1,
            "executors ready": 2},
    "executors": {"rows": [
        {"hall": "b", "executor": "[red]e1", "stage": "ready", "link": "up", "in flight": 3},
        {"hall": "a", "executor": "e2", "stage": "draining", "link": "down", "in flight": 10}]},
    "functions": {"rows": [{"function": "f", "waiting": 1}]},
    "triggers": {"rows": []}, "changes": {"rows": []},
}  # fmt: skip


def column(app, table, at):
    rows = app.query_one(f"#table-{table}", DataTable)
    return [rows.get_row_at(i)[at] for i in range(rows.row_count)]


def test_top():
    async def play():
        app = Top(lambda page, **query: PAGES[page], 60.0)
        async with app.run_test(size=(120, 40)) as pilot:
            await pilot.pause()
            assert column(app, "executors", 1) == ["e2", "[red]e1"]  # by zone
            app.query_one("#table-executors", DataTable).focus()
            for _ in range(4):
                await pilot.press("s")
            assert column(app, "executors", 4) == ["3", "10"]  # by size, not by name
            await pilot.press("r")
            assert column(app, "executors", 4) == ["10", "3"]
            await pilot.press("enter")
            assert "draining" in str(app.query_one("#detail", Static).render())
            await pilot.press("slash", *"ready")
            await pilot.pause()
            assert column(app, "executors", 1) == ["[red]e1"]

    asyncio.run(play())
