"""Announcements of backend servers."""

from __future__ import annotations

import json
import unittest

from marigoldchute.config import NodeSettings, StoreSettings
from marigoldchute.errors import ResultCode
from marigoldchute.events import EventSink
from marigoldchute.membership.announcement import AnnouncementError, take_announcement
from marigoldchute.membership.model import MemberState
from marigoldchute.membership.service import ANNOUNCEMENT_TTL_S, Membership
from marigoldchute.overlay.records import RecordTable

ADDRESS = "127.0.0.9"
WHOLE = {
    "service": "turnos",
    "release": "r1",
    "port": 9100,
    "slots": 12,
    "connections": 110,
    "instance": "a",
}


def _membership() -> Membership:
    cfg = NodeSettings(
        "vm-1", ADDRESS, "dc", "region", StoreSettings("127.0.0.1", 9000), ()
    )
    log = EventSink()
    return Membership(cfg, 1, RecordTable(), log)  # type: ignore[arg-type]


def _announce(membership: Membership, now: float = 0.0, **changes: object) -> None:
    body = json.dumps(WHOLE | changes).encode()
    take_announcement(membership, body, ADDRESS, 0, now)


class AnnouncementTest(unittest.TestCase):
    def test_restart_on_the_same_port_is_another_server(self) -> None:
        membership = _membership()
        _announce(membership)
        _announce(membership, instance="b")
        ids = [server.server_id for server in membership.local.servers]
        self.assertEqual(ids, ["vm-1/9100/b"])

    def test_server_that_ceases_to_announce_is_dropped(self) -> None:
        membership = _membership()
        _announce(membership, 10.0)
        membership.expire_announcements(10.0 + ANNOUNCEMENT_TTL_S)
        self.assertEqual(len(membership.local.servers), 1)
        membership.expire_announcements(10.1 + ANNOUNCEMENT_TTL_S)
        self.assertEqual(membership.local.servers, ())

    def test_drain_is_published_at_once(self) -> None:
        membership = _membership()
        _announce(membership)
        before = membership.local.sequence
        _announce(membership, draining=True)
        self.assertTrue(membership.local.servers[0].draining)
        self.assertGreater(membership.local.sequence, before)

    def test_repeated_announcement_changes_nothing(self) -> None:
        membership = _membership()
        _announce(membership)
        before = membership.local
        _announce(membership, 1.0)
        self.assertIs(membership.local, before)

    def test_cold_start_is_published_once(self) -> None:
        membership = _membership()
        body = json.dumps(WHOLE | {"cold_ms": 5000}).encode()
        take_announcement(membership, body, ADDRESS, 1000, 1.0)
        before = membership.local
        body = json.dumps(WHOLE | {"cold_ms": 3990}).encode()
        take_announcement(membership, body, ADDRESS, 2005, 2.0)
        self.assertIs(membership.local, before)

    def test_announcement_of_another_vm_is_refused(self) -> None:
        body = json.dumps(WHOLE).encode()
        with self.assertRaises(AnnouncementError) as caught:
            take_announcement(_membership(), body, "127.0.0.10", 0, 0.0)
        self.assertIs(caught.exception.code, ResultCode.ANNOUNCEMENT_FOREIGN)

    def test_bad_announcements_are_refused_with_a_code(self) -> None:
        bad = [
            b"",
            b"\xff",
            b"[]",
            b"{}",
            json.dumps(WHOLE | {"slots": 0}).encode(),
            json.dumps(WHOLE | {"port": 70_000}).encode(),
            json.dumps(WHOLE | {"cold_ms": -1}).encode(),
            json.dumps(WHOLE | {"service": ""}).encode(),
            json.dumps(WHOLE | {"instance": "x" * 65}).encode(),
        ]
        membership = _membership()
        for body in bad:
            with (
                self.subTest(body=body),
                self.assertRaises(AnnouncementError) as caught,
            ):
                take_announcement(membership, body, ADDRESS, 0, 0.0)
            self.assertIs(caught.exception.code, ResultCode.ANNOUNCEMENT_INVALID)
        self.assertEqual(membership.local.servers, ())


class OwnRecordTest(unittest.TestCase):
    def test_claim_of_unreachability_is_refuted(self) -> None:
        membership = _membership()
        before = membership.local.sequence
        membership.claim(membership.local, MemberState.UNREACHABLE, "test", 0)
        self.assertIs(membership.local.state, MemberState.ALIVE)
        self.assertGreater(membership.local.sequence, before)

    def test_end_of_the_incarnation_is_followed_by_another(self) -> None:
        membership = _membership()
        before = membership.local.incarnation
        membership.claim(membership.local, MemberState.GONE, "test", 10**15)
        self.assertGreater(membership.local.incarnation, before)
        self.assertTrue(membership.fenced)
        known = membership.get("vm-1")
        assert known is not None
        self.assertIs(known.state, MemberState.ALIVE)
