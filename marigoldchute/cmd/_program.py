"""Command line parsing, exit status and error output shared by the programs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NoReturn

import cappa
import msgspec
import trio

from marigoldchute import __version__
from marigoldchute.admin.messages import Failure
from marigoldchute.errors import MarigoldchuteError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

INTERRUPTED_EXIT_STATUS = 130


def run_program(command: type) -> NoReturn:
    """Run the command line of this process and exit with its status."""
    sys.exit(run_command_line(command))


def run_command_line(command: type, argv: list[str] | None = None) -> int:
    """Parse a command line, run the command and return the exit status.

    The status is 0 or the class of the result code. A command line that cannot be
    parsed has class 1, input.

    Parameters
    ----------
    command : type
        Class of the command.
    argv : list of str, optional
        Arguments without the program's name; by default those of the process.
    """
    color = sys.stdout.isatty()
    try:
        return cappa.invoke(command, argv=argv, version=__version__, color=color)
    except cappa.Exit as exc:
        return ResultCode.ARGUMENT_INVALID.exit_status if exc.code else 0
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_STATUS
    except BrokenPipeError:
        # The reader has closed the pipe, so the interpreter must not flush it at exit.
        sys.stdout = None  # type: ignore[assignment]
        return 0


def run_action(action: Callable[[], Awaitable[int]], as_json: bool = False) -> int:
    """Run an asynchronous command and print its error, if any.

    Parameters
    ----------
    action : callable
        Asynchronous function that returns the exit status.
    as_json : bool
        Whether an error is printed as JSON.

    Returns
    -------
    int
        Exit status.
    """
    try:
        return trio.run(action)
    except MarigoldchuteError as exc:
        return report_error(exc, as_json)


def report_error(exc: MarigoldchuteError, as_json: bool = False) -> int:
    """Print an error and return its exit status."""
    if as_json:
        failure = Failure(exc.code.value, exc.code.name, exc.message)
        print(msgspec.json.encode(failure).decode(), file=sys.stderr)
    else:
        print(exc, file=sys.stderr)
    return exc.code.exit_status


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())
