"""Changes of the settings file while a node runs."""

from __future__ import annotations

import json
import os
import pathlib
import tempfile
import unittest
from typing import Any
from unittest import mock

from marigoldchute.events import MemoryEventLog
from marigoldchute.platform import settings_file
from marigoldchute.platform.settings_file import SettingsFile

VALUE = {
    "node": "vm-1",
    "ip": "10.0.0.1",
    "zone": "a",
    "region": "r",
    "listen": {
        "outbound": "10.0.0.1:1",
        "control": "10.0.0.1:2",
        "ready": "10.0.0.1:3",
    },
    "internal_port_range": [7600, 7615],
    "heartbeat_ms": 400,
    "bounds": [],
    "app_addr": "10.0.0.1:80",
    "service": "turnos",
    "platform": {"address": "10.0.0.9:1"},
}


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "node.json"
        self.services: list[str] = []
        self.log: Any = MemoryEventLog()
        self.write("turnos")
        self.settings = SettingsFile(
            str(self.path), lambda cfg: self.services.append(cfg.service), self.log
        )

    def write(self, service: str) -> None:
        """Replace the file as the platform does."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(VALUE | {"service": service}))
        new_path.replace(self.path)

    def test_file_is_read_only_after_a_change(self) -> None:
        with mock.patch.object(
            settings_file, "read_settings", wraps=settings_file.read_settings
        ) as read:
            for _ in range(5):
                self.settings.refresh()
            self.write("reservas")
            for _ in range(5):
                self.settings.refresh()
            self.assertEqual(read.call_count, 2)
        self.assertEqual(self.services, ["turnos", "reservas"])

    def test_file_that_is_written_in_place_is_read_again(self) -> None:
        self.settings.refresh()
        self.path.write_text(json.dumps(VALUE | {"service": "reservas"}))
        os.utime(self.path, ns=(1, 1))
        self.settings.refresh()
        self.assertEqual(self.services, ["turnos", "reservas"])

    def test_invalid_file_is_logged_once_and_changes_nothing(self) -> None:
        self.settings.refresh()
        self.path.write_text("{")
        for _ in range(5):
            self.settings.refresh()
        self.assertEqual(self.services, ["turnos"])
        events = [event.event for event in self.log.events]
        self.assertEqual(events.count("reload_failed"), 1)
        self.write("reservas")
        self.settings.refresh()
        self.assertEqual(self.services[-1], "reservas")

    def test_missing_file_changes_nothing(self) -> None:
        self.settings.refresh()
        self.path.unlink()
        for _ in range(3):
            self.settings.refresh()
        self.assertEqual(self.services, ["turnos"])
        self.write("reservas")
        self.settings.refresh()
        self.assertEqual(self.services[-1], "reservas")
