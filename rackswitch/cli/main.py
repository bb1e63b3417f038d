"""The ``rackswitchctl`` command."""

import json
import os
import sys
import uuid
from typing import Any

import fire
import json5

from rackswitch.cli.client import AdminAnswer, AdminClient
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.settings import SettingsFault, describe_settings, load_settings

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5
TOKEN_VARIABLE = "RACKSWITCH_TOKEN"
URL_VARIABLE = "RACKSWITCH_URL"
DEFAULT_URL = "http://127.0.0.1:8080"
EXIT_CODE_BY_STATUS = {412: EXIT_CONFLICT, 504: EXIT_UNKNOWN, 0: EXIT_UNREACHABLE}


def _print_table(rows: list[dict[str, Any]]) -> None:
    if not rows:
        return
    names = list(rows[0])
    cell_rows = [[str(row.get(name, "")) for name in names] for row in rows]
    widths = [
        max(len(name), *(len(cell_row[i]) for cell_row in cell_rows))
        for i, name in enumerate(names)
    ]
    for cell_row in [names, *cell_rows]:
        print("  ".join(cell.ljust(width) for cell, width in zip(cell_row, widths, strict=True)))


def _read_json(path: str) -> Any:
    text = sys.stdin.read() if path == "-" else _read_file(path)
    try:
        return json5.loads(text)
    except ValueError as error:
        print(f"{path}: invalid JSON with comments: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _read_file(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        print(f"{path}: failed to read: {error.strerror}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


class Commands:
    """Reads and edits the table of a rackswitch fleet.

    Parameters
    ----------
    url : str
        Address of any daemon; default from RACKSWITCH_URL.
    output : str
        ``table`` or ``json``.
    """

    def __init__(self, url: str = "", output: str = "table"):
        token = os.environ.get(TOKEN_VARIABLE, "")
        self._client = AdminClient(url or os.environ.get(URL_VARIABLE, DEFAULT_URL), token)
        self._output = output

    def rows(self) -> None:
        """List all rows."""
        answer = self._exit_unless_ok(self._client.call("GET", "/admin/v1/table"))
        rows = answer.body["rows"]
        table = [
            {"key": key, "revision": stored["revision"], "row": json.dumps(stored["row"])}
            for key, stored in sorted(rows.items())
        ]
        self._show(answer, table)

    def get(self, key: str) -> None:
        """Show one row, by ``kind/name``."""
        answer = self._exit_unless_ok(self._client.call("GET", f"/admin/v1/rows/{key}"))
        print(json.dumps(answer.body, indent=2))

    def put(self, path: str, if_revision: int | None = None) -> None:
        """Put the row in a file (``-``: standard input), optionally only at a given revision."""
        row = _read_json(path)
        change: dict[str, Any] = {"row": row, "if_revision": if_revision}
        self._edit([change], False)

    def remove(self, key: str, if_revision: int | None = None) -> None:
        """Remove a row by ``kind/name``, optionally only at a given revision."""
        self._edit([{"remove": key, "if_revision": if_revision}], False)

    def edit(self, path: str, dry_run: bool = False) -> None:
        """Apply a file with a list of changes as one unit, or only validate it."""
        self._edit(_read_json(path), dry_run)

    def history(self) -> None:
        """Show the history of edits."""
        answer = self._exit_unless_ok(self._client.call("GET", "/admin/v1/history"))
        self._show(answer, answer.body["edits"])

    def status(self) -> None:
        """Show the table revision of each daemon."""
        answer = self._exit_unless_ok(self._client.call("GET", "/admin/v1/status"))
        self._show(answer, answer.body["daemons"])

    def drain(self, key: str, undo: bool = False) -> None:
        """Drain ``target/NAME`` or ``daemon/NAME``, or stop draining it."""
        kind, _, name = key.partition("/")
        if kind == "daemon":
            row: dict[str, Any] = {"kind": "daemon", "name": name, "draining": not undo}
            self._edit([{"row": row}], False)
            return
        answer = self._exit_unless_ok(self._client.call("GET", f"/admin/v1/rows/{key}"))
        row = {**answer.body["row"], "draining": not undo}
        self._edit([{"row": row, "if_revision": answer.body["revision"]}], False)

    def check_settings(self, path: str) -> None:
        """Validate a daemon's settings file."""
        loaded = load_settings(path, DaemonSettings)
        if isinstance(loaded, SettingsFault):
            print(loaded.line, file=sys.stderr)
            sys.exit(EXIT_USAGE)
        print(f"{path}: fine")

    def show_settings(self) -> None:
        """Describe all settings of the daemon."""
        for line in describe_settings(DaemonSettings):
            print(line)

    def _edit(self, changes: list[Any], dry_run: bool) -> None:
        body = {"changes": changes, "edit_id": uuid.uuid4().hex, "dry_run": dry_run}
        answer = self._client.call("POST", "/admin/v1/edits", body)
        if answer.status in (0, 503, 504):
            # The edit id makes the retry idempotent.
            answer = self._client.call("POST", "/admin/v1/edits", body)
        self._exit_unless_ok(answer)
        print(json.dumps(answer.body))

    def _exit_unless_ok(self, answer: AdminAnswer) -> AdminAnswer:
        if answer.status == 200:
            return answer
        print(json.dumps(answer.body), file=sys.stderr)
        sys.exit(EXIT_CODE_BY_STATUS.get(answer.status, EXIT_REFUSED))

    def _show(self, answer: AdminAnswer, table: list[dict[str, Any]]) -> None:
        if self._output == "json":
            print(json.dumps(answer.body, indent=2))
        else:
            _print_table(table)


def main() -> None:
    """Entry point."""
    fire.Fire(Commands)
