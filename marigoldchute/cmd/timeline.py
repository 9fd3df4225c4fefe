"""marigoldchute-timeline: merge event logs of several processes in causal order."""

from __future__ import annotations

import contextlib
import dataclasses
import datetime
import sys
from typing import IO, Annotated

import cappa
import msgspec

from marigoldchute.cmd._program import report_error, run_program
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.timeline import (
    EventFilter,
    event_to_dict,
    format_event,
    merge_lines,
)

STANDARD_INPUT = "-"


def parse_time_ms(text: str) -> int:
    """Parse a time and return it as milliseconds since the epoch.

    Parameters
    ----------
    text : str
        ISO 8601 (UTC unless it has an offset), or milliseconds since the epoch.

    Raises
    ------
    MarigoldchuteError
        The text has neither format.
    """
    if text.isascii() and text.isdigit():
        return int(text)
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError as exc:
        raise MarigoldchuteError(
            f"time {text!r} is neither ISO 8601, such as 2026-12-04T10:30:00, "
            "nor milliseconds since the epoch"
        ) from exc
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return int(time.timestamp() * 1000)


def _option(name: str, value_name: str, text: str) -> cappa.Arg[str]:
    return cappa.Arg(long=name, value_name=value_name, help=text)


@cappa.command(
    name="marigoldchute-timeline",
    help="Merge event logs of nodes into one time line.",
    description="Example: marigoldchute-timeline logs/*.log --move turnos-r2\n\n"
    "Events are in causal order of their hybrid logical clock stamps; the time shown "
    "is the wall clock of the process that logged the event. Lines that are not events "
    "are skipped, and their number is printed on standard error.",
)
@dataclasses.dataclass(frozen=True)
class TimelineCommand:
    """Command line of ``marigoldchute-timeline``."""

    logs: Annotated[
        list[str],
        cappa.Arg(value_name="LOG", help="Log files; - for standard input."),
    ]
    move: Annotated[str, _option("--move", "ID", "Only events of this move.")] = ""
    version: Annotated[
        int | None,
        cappa.Arg(
            long="--bundle", value_name="N", help="Only events of this bundle version."
        ),
    ] = None
    vm: Annotated[str, _option("--vm", "NAME", "Only events by or about this VM.")] = ""
    part: Annotated[
        str, _option("--part", "NAME", "Only events of this component, e.g. moves.")
    ] = ""
    event: Annotated[
        str, _option("--event", "NAME", "Only this event, e.g. verdict.")
    ] = ""
    request: Annotated[
        str, _option("--request", "ID", "Only events of this request.")
    ] = ""
    since: Annotated[str, _option("--since", "TIME", "ISO 8601 or epoch ms.")] = ""
    until: Annotated[str, _option("--until", "TIME", "ISO 8601 or epoch ms.")] = ""
    as_json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON lines for programs.")
    ] = False

    def __call__(self) -> int:
        """Print the time line."""
        try:
            self._print_timeline()
        except MarigoldchuteError as exc:
            return report_error(exc, self.as_json)
        return 0

    def _print_timeline(self) -> None:
        event_filter = self._build_filter()
        with contextlib.ExitStack() as stack:
            timeline = merge_lines([_open_log(name, stack) for name in self.logs])
        for event in timeline.events:
            if not event_filter.matches(event):
                continue
            if self.as_json:
                print(msgspec.json.encode(event_to_dict(event)).decode())
            else:
                print(format_event(event))
        if timeline.skipped_lines:
            print(f"{timeline.skipped_lines} lines are not events", file=sys.stderr)

    def _build_filter(self) -> EventFilter:
        return EventFilter(
            move=self.move,
            vm=self.vm,
            part=self.part,
            event=self.event,
            request=self.request,
            version=self.version,
            since_ms=parse_time_ms(self.since) if self.since else None,
            until_ms=parse_time_ms(self.until) if self.until else None,
        )


def _open_log(path: str, stack: contextlib.ExitStack) -> IO[bytes]:
    if path == STANDARD_INPUT:
        return sys.stdin.buffer
    try:
        return stack.enter_context(open(path, "rb"))
    except OSError as exc:
        raise MarigoldchuteError(
            f"{path}: {exc.strerror}", ResultCode.SETTINGS_UNREADABLE
        ) from exc


def main() -> None:
    """Run the program."""
    run_program(TimelineCommand)


if __name__ == "__main__":
    main()
