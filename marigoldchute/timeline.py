"""Merges the event logs of all processes into one time line in causal order."""

from __future__ import annotations

import dataclasses
import datetime
from typing import TYPE_CHECKING, Any

import msgspec

from marigoldchute.events import COUNTER_BITS, Event

if TYPE_CHECKING:
    from collections.abc import Iterable

MESSAGE_PREFIX = "marigoldchute"
PROCESS_WIDTH = 16
CHILD_SEPARATOR = "."  # Separates a request's id from the suffix of a nested call.
_EVENT_KEYS = frozenset(("message_type", "stamp", "wall_ms", "process", "text"))
_ELIOT_KEYS = frozenset(("timestamp", "task_uuid", "task_level"))


class _LogLine(msgspec.Struct):
    """Fields that every event has; the additional ones are decoded separately."""

    message_type: str
    stamp: int
    wall_ms: int
    process: str
    text: str


@dataclasses.dataclass(frozen=True)
class EventFilter:
    """Criteria that select events; an empty criterion matches every event.

    Parameters
    ----------
    move, vm, part, event, request : str
        Move id, name of the VM that logged the event or that it concerns, component,
        event name, request id. The request id also matches the ids of nested calls,
        ``ID.CHILD``.
    version : int, optional
        Bundle version.
    since_ms, until_ms : int, optional
        Range of wall-clock times in milliseconds since the epoch, both inclusive.
    """

    move: str = ""
    vm: str = ""
    part: str = ""
    event: str = ""
    request: str = ""
    version: int | None = None
    since_ms: int | None = None
    until_ms: int | None = None

    def matches(self, event: Event) -> bool:
        """Return whether an event matches every criterion."""
        fields = event.fields
        return (
            (not self.move or fields.get("move") == self.move)
            and (not self.vm or self.vm in (event.process, fields.get("member")))
            and (not self.part or event.part == self.part)
            and (not self.event or event.event == self.event)
            and self._belongs_to_request(fields.get("request"))
            and (self.version is None or fields.get("version") == self.version)
            and (self.since_ms is None or event.wall_ms >= self.since_ms)
            and (self.until_ms is None or event.wall_ms <= self.until_ms)
        )

    def _belongs_to_request(self, request_id: object) -> bool:
        if not self.request or request_id == self.request:
            return True
        return isinstance(request_id, str) and request_id.startswith(
            self.request + CHILD_SEPARATOR
        )


@dataclasses.dataclass(frozen=True)
class Timeline:
    """Events in causal order and the number of lines that are not events."""

    events: tuple[Event, ...]
    skipped_lines: int


def parse_line(line: bytes) -> Event | None:
    """Return the event of a log line, or None when the line is not an event.

    Truncated lines, the output of other programs and other eliot messages are not
    events.
    """
    try:
        header = msgspec.json.decode(line, type=_LogLine)
        values = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    prefix, _, suffix = header.message_type.partition(":")
    part, colon, name = suffix.partition(":")
    if prefix != MESSAGE_PREFIX or not colon:
        return None
    common_keys = _EVENT_KEYS | _ELIOT_KEYS
    fields = {key: value for key, value in values.items() if key not in common_keys}
    return Event(
        header.stamp, header.wall_ms, header.process, part, name, header.text, fields
    )


def merge_lines(logs: Iterable[Iterable[bytes]]) -> Timeline:
    """Merge the lines of several logs.

    Events are ordered by their hybrid logical timestamps. A process advances its
    clock to the timestamp of each message that it receives, so a cause always precedes
    its effect, even when the wall clocks differ. Events with equal timestamps are
    ordered by process name.
    """
    events: list[Event] = []
    skipped = 0
    for log in logs:
        for line in log:
            event = parse_line(line)
            if event is not None:
                events.append(event)
            elif line.strip():
                skipped += 1
    events.sort(key=lambda event: (event.stamp, event.process))
    return Timeline(tuple(events), skipped)


def format_event(event: Event) -> str:
    """Return an event as one line of text: time in UTC, process and sentence."""
    utc_time = datetime.datetime.fromtimestamp(event.wall_ms / 1000, datetime.UTC)
    time_text = utc_time.strftime("%H:%M:%S.") + f"{event.wall_ms % 1000:03d}"
    ahead_ms = (event.stamp >> COUNTER_BITS) - event.wall_ms
    offset_note = f" [logical time {ahead_ms:+d} ms]" if ahead_ms else ""
    return f"{time_text}  {event.process:<{PROCESS_WIDTH}}  {event.text}{offset_note}"


def event_to_dict(event: Event) -> dict[str, Any]:
    """Return an event as a JSON-compatible object."""
    common_fields = {
        "stamp": event.stamp,
        "wall_ms": event.wall_ms,
        "process": event.process,
        "part": event.part,
        "event": event.event,
        "text": event.text,
    }
    return common_fields | event.fields
