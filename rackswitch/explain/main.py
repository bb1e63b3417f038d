"""The program ``rackswitch``: why a request ended as it did, and what daemons believe."""

import sys
from collections.abc import Iterator
from contextlib import ExitStack

import fire

from rackswitch.cli.client import AdminClient
from rackswitch.explain.lines import read_events
from rackswitch.explain.loss_page import format_losses
from rackswitch.explain.losses import ledger_of
from rackswitch.explain.page import format_story
from rackswitch.explain.story import tell_story
from rackswitch.explain.verdicts import judge_story

__all__ = ["main"]

EXIT_UNKNOWN_IDENTITY = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 4
STATUS_PATH = "/status"
STANDARD_INPUT = "-"


def _lines(files: tuple[str, ...]) -> Iterator[str]:
    """Yield the lines of files one after the other; bytes that are no text are replaced."""
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
    """Explains from logs, and asks daemons what they believe."""

    # Identities of digits, or that look like numbers, are texts all the same.
    @fire.decorators.SetParseFn(str)
    def explain(self, identity: str, *files: str) -> None:
        """Tell the story of a request, item or job, and its cause.

        Parameters
        ----------
        identity : str
            The caller's identity of it.
        files : str
            Logs of any daemons, mixed or not; standard input if there are none.
        """
        log = read_events(_lines(files))
        story = tell_story(log, identity)
        if story is None:
            print(
                f"{identity}: named by none of {len(log.events)} lines, so no daemon whose log"
                f" is here has read it ({log.unknown} lines were not understood)",
                file=sys.stderr,
            )
            sys.exit(EXIT_UNKNOWN_IDENTITY)
        print(format_story(story, judge_story(story)))

    def losses(self, *files: str) -> None:
        """Tell where the time of each training step went, over all jobs in the logs.

        Parameters
        ----------
        files : str
            Logs of any daemons, mixed or not; standard input if there are none.
        """
        print(format_losses(ledger_of(read_events(_lines(files)))))

    def status(self, *urls: str) -> None:
        """Show what each daemon believes, and how old that is.

        Parameters
        ----------
        urls : str
            Addresses where daemons serve their metrics, such as http://10.0.0.1:9464.
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
    """Entry point."""
    fire.Fire(Commands)
