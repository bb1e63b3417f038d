"""The command ``rackswitch``: explains requests and jobs from logs, and shows daemons' status."""

import sys
from collections.abc import Iterator
from contextlib import ExitStack

import fire

from rackswitch.cli.client import AdminClient
from rackswitch.explain.lines import read_events
from rackswitch.explain.loss_page import format_losses
from rackswitch.explain.losses import split_step_times
from rackswitch.explain.page import format_timeline
from rackswitch.explain.story import build_timeline
from rackswitch.explain.verdicts import find_cause

__all__ = ["main"]

EXIT_UNKNOWN_IDENTITY = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 4
STATUS_PATH = "/status"
STANDARD_INPUT = "-"


def _read_lines(files: tuple[str, ...]) -> Iterator[str]:
    """Yield the lines of files in turn; bytes that are not valid UTF-8 are replaced."""
    with ExitStack() as stack:
        for path in files or (STANDARD_INPUT,):
            if path == STANDARD_INPUT:
                yield from sys.stdin
                continue
            try:
                file = stack.enter_context(open(path, encoding="utf-8", errors="replace"))
            except OSError as error:
                print(f"{path}: cannot be read: {error.strerror}", file=sys.stderr)
                sys.exit(EXIT_USAGE)
            yield from file


class Commands:
    """Explain requests, items and jobs from logs, and show the status of daemons."""

    # Keeps fire from parsing identities such as 0042 or 1e5 as numbers.
    @fire.decorators.SetParseFn(str)
    def explain(self, identity: str, *files: str) -> None:
        """Show the log lines about a request, item, job or usage window, and the cause.

        Parameters
        ----------
        identity : str
            Its identity, as chosen by the caller.
        files : str
            Log files, each of one or more daemons; standard input if none is given.
        """
        log = read_events(_read_lines(files))
        story = build_timeline(log, identity)
        if story is None:
            print(
                f"{identity}: named by none of {len(log.events)} lines, so no daemon whose log"
                f" is here has read it ({log.unknown} lines were not understood)",
                file=sys.stderr,
            )
            sys.exit(EXIT_UNKNOWN_IDENTITY)
        print(format_timeline(story, find_cause(story)))

    def losses(self, *files: str) -> None:
        """Show what the time of each training step was spent on, for all jobs in the logs.

        Parameters
        ----------
        files : str
            Log files, each of one or more daemons; standard input if none is given.
        """
        print(format_losses(split_step_times(read_events(_read_lines(files)))))

    def status(self, *urls: str) -> None:
        """Show the status of each daemon.

        Parameters
        ----------
        urls : str
            URLs of the daemons' metrics listeners, such as http://10.0.0.1:9464.
        """
        if not urls:
            print("status: give the address of at least one daemon", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        failed = False
        for url in urls:
            answer = AdminClient(url, "").call("GET", STATUS_PATH)
            if answer.status != 200:
                failed = True
                print(f"{url}: no answer (status {answer.status})", file=sys.stderr)
                continue
            print(f"{url}:")
            for name, value in answer.body.items():
                print(f"  {name}: {value}")
        if failed:
            sys.exit(EXIT_UNREACHABLE)


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands)
