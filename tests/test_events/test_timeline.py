"""Tests of the time line of events and of the program that prints it."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import random
import tempfile
import unittest

from marigoldchute.cmd._program import run_command_line
from marigoldchute.cmd.timeline import TimelineCommand, parse_time_ms
from marigoldchute.errors import MarigoldchuteError
from marigoldchute.events import COUNTER_BITS, EventLog, HybridClock
from marigoldchute.timeline import EventFilter, merge_lines, parse_line

START_MS = 1_700_000_000_000


def log_line(
    process: str,
    stamp: int,
    part: str = "moves",
    event: str = "share",
    **fields: object,
) -> bytes:
    """Return a log line in the format of an event log."""
    values = {
        "message_type": f"marigoldchute:{part}:{event}",
        "stamp": stamp,
        "wall_ms": stamp >> COUNTER_BITS,
        "process": process,
        "text": f"{part}: {event}.",
        "timestamp": 1.0,
        "task_uuid": "x",
        "task_level": [1],
    }
    return json.dumps(values | fields).encode()


class MergeTest(unittest.TestCase):
    def test_effect_follows_its_cause_when_the_receivers_clock_is_behind(
        self,
    ) -> None:
        sender, receiver = HybridClock(), HybridClock()
        cause = sender.tick(START_MS)
        receiver.observe(cause)
        effect = receiver.tick(START_MS - 5000)
        later_effect = receiver.tick(START_MS - 4990)
        logs = [
            [
                log_line("vm-2", effect, event="b"),
                log_line("vm-2", later_effect, event="c"),
            ],
            [log_line("vm-1", cause, event="a")],
        ]
        merged = merge_lines(logs)
        self.assertEqual([event.event for event in merged.events], ["a", "b", "c"])

    def test_time_line_does_not_depend_on_the_order_of_logs_and_lines(self) -> None:
        rng = random.Random(1)
        lines = [log_line(f"vm-{n % 3}", START_MS + n // 2) for n in range(20)]
        expected = merge_lines([lines])
        for _ in range(20):
            rng.shuffle(lines)
            split_at = rng.randrange(len(lines))
            self.assertEqual(
                merge_lines([lines[:split_at], lines[split_at:]]), expected
            )

    def test_foreign_and_truncated_lines_are_skipped_and_counted(self) -> None:
        valid_line = log_line("vm-1", 5)
        foreign_lines = [
            b"Traceback (most recent call last):",
            b"[]",
            b"17",
            b"{}",
            b"\xff\xfe",
            b'{"message_type": "other:a:b", "stamp": 1, "wall_ms": 1}',
            b'{"message_type": "marigoldchute:a:b", "stamp": "x"}',
            log_line("vm-1", 1).replace(b"marigoldchute:", b"other:"),
            log_line("vm-1", 1).replace(
                b"marigoldchute:moves:share", b"marigoldchute:x"
            ),
        ]
        truncated_lines = [
            valid_line[:size] for size in range(1, len(valid_line) - 1, 7)
        ]
        merged = merge_lines(
            [[*foreign_lines, valid_line, b"", b"\n", *truncated_lines]]
        )
        self.assertEqual(len(merged.events), 1)
        self.assertEqual(
            merged.skipped_lines, len(foreign_lines) + len(truncated_lines)
        )

    def test_parsing_a_corrupted_line_raises_no_error(self) -> None:
        valid_line = log_line("vm-1", 5)
        rng = random.Random(1)
        for _ in range(500):
            data = bytearray(valid_line)
            data[rng.randrange(len(data))] = rng.randrange(256)
            offset = rng.randrange(len(data))
            del data[offset : offset + rng.randrange(5)]
            parse_line(bytes(data))


class FilterTest(unittest.TestCase):
    def test_filter_selects_the_matching_events(self) -> None:
        events = merge_lines(
            [
                [
                    log_line("vm-1", 1000 << COUNTER_BITS, move="m", version=1),
                    log_line("vm-2", 2000 << COUNTER_BITS, member="vm-1", part="a"),
                    log_line("vm-2", 3000 << COUNTER_BITS, event="e", request="r.1"),
                ]
            ]
        ).events
        cases = [
            (EventFilter(request="r.1"), [2]),
            (EventFilter(request="r.2"), []),
            (EventFilter(request="r."), []),
            (EventFilter(), [0, 1, 2]),
            (EventFilter(move="m"), [0]),
            (EventFilter(version=1), [0]),
            (EventFilter(vm="vm-1"), [0, 1]),
            (EventFilter(part="a"), [1]),
            (EventFilter(event="e"), [2]),
            (EventFilter(request="r"), [2]),
            (EventFilter(since_ms=2000), [1, 2]),
            (EventFilter(until_ms=2000), [0, 1]),
            (EventFilter(since_ms=1500, until_ms=2500), [1]),
            (EventFilter(move="m", vm="vm-2"), []),
        ]
        for event_filter, expected in cases:
            with self.subTest(event_filter=event_filter):
                matching = [
                    i for i, event in enumerate(events) if event_filter.matches(event)
                ]
                self.assertEqual(matching, expected)


class TimeTest(unittest.TestCase):
    def test_times_are_utc_unless_they_have_an_offset(self) -> None:
        for text in ("2023-11-14T22:13:20", "2023-11-15T00:13:20+02:00", str(START_MS)):
            with self.subTest(text=text):
                self.assertEqual(parse_time_ms(text), START_MS)

    def test_invalid_times_are_rejected(self) -> None:
        for text in ("yesterday", "", "-1", "25:00"):
            with self.subTest(text=text), self.assertRaises(MarigoldchuteError):
                parse_time_ms(text)


class ProgramTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "vm.log"

    def run_program(self, *args: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = run_command_line(TimelineCommand, [*args])
        return status, out.getvalue(), err.getvalue()

    def test_program_prints_the_events_of_a_log(self) -> None:
        with self.path.open("w") as file:
            log = EventLog("vm-1", file)
            log.emit("moves", "verdict", "turnos-r2 is done.", move="turnos-r2")
            log.emit("distribution", "in_force", "Version 3.", version=3)
        status, out, err = self.run_program(str(self.path), "--move", "turnos-r2")
        self.assertEqual((status, err), (0, ""))
        self.assertRegex(out, r"^\d\d:\d\d:\d\d\.\d{3}  vm-1 +moves: turnos-r2 is done")
        status, out, _ = self.run_program(str(self.path), "--bundle", "3", "--json")
        value = json.loads(out)
        self.assertEqual((value["event"], value["version"]), ("in_force", 3))
        self.assertNotIn("task_uuid", value)

    def test_program_reports_the_number_of_skipped_lines(self) -> None:
        self.path.write_bytes(log_line("vm-1", 1) + b"\nhalf a line")
        status, out, err = self.run_program(str(self.path))
        self.assertEqual((status, out.count("\n")), (0, 1))
        self.assertIn("1 lines are not events", err)

    def test_exit_status_of_invalid_arguments_is_the_class_of_the_code(self) -> None:
        self.path.touch()
        cases = [
            (["/nowhere.log"], 1, "102 SETTINGS_UNREADABLE"),
            ([str(self.path), "--since", "noon"], 1, "103 ARGUMENT_INVALID"),
            ([str(self.path), "--bundle", "x"], 1, "--bundle"),
        ]
        for args, expected, text in cases:
            with self.subTest(args=args):
                status, _, err = self.run_program(*args)
                self.assertEqual(status, expected)
                self.assertIn(text, err)
