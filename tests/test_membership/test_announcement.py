"""Announcements of backend servers, and claims about this node."""

from __future__ import annotations

import json
import unittest

from marigoldchute.config import NodeSettings, StoreSettings
from marigoldchute.errors import ResultCode
from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.announcement import AnnouncementError, handle_announcement
from marigoldchute.membership.model import MemberState
from marigoldchute.membership.service import ANNOUNCEMENT_TTL_S, Membership
from marigoldchute.overlay.records import RecordTable

ADDRESS = "127.0.0.9"
VALID = {
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
    log = MemoryEventLog()
    return Membership(cfg, 1, RecordTable(), log)  # type: ignore[arg-type]


def _announce(membership: Membership, now: float = 0.0, **changes: object) -> None:
    body = json.dumps(VALID | changes).encode()
    handle_announcement(membership, body, ADDRESS, 0, now)


class AnnouncementTest(unittest.TestCase):
    def test_restarted_server_replaces_the_one_on_the_same_port(self) -> None:
        membership = _membership()
        _announce(membership)
        _announce(membership, instance="b")
        ids = [server.server_id for server in membership.local.servers]
        self.assertEqual(ids, ["vm-1/9100/b"])

    def test_server_without_announcements_is_removed_after_the_ttl(self) -> None:
        membership = _membership()
        _announce(membership, 10.0)
        membership.expire_announcements(10.0 + ANNOUNCEMENT_TTL_S)
        self.assertEqual(len(membership.local.servers), 1)
        membership.expire_announcements(10.1 + ANNOUNCEMENT_TTL_S)
        self.assertEqual(membership.local.servers, ())

    def test_draining_is_published_immediately(self) -> None:
        membership = _membership()
        _announce(membership)
        before = membership.local.sequence
        _announce(membership, draining=True)
        self.assertTrue(membership.local.servers[0].draining)
        self.assertGreater(membership.local.sequence, before)

    def test_unchanged_announcement_does_not_change_the_record(self) -> None:
        membership = _membership()
        _announce(membership)
        before = membership.local
        _announce(membership, 1.0)
        self.assertIs(membership.local, before)

    def test_small_shift_of_the_cold_start_does_not_change_the_record(self) -> None:
        membership = _membership()
        body = json.dumps(VALID | {"cold_ms": 5000}).encode()
        handle_announcement(membership, body, ADDRESS, 1000, 1.0)
        before = membership.local
        body = json.dumps(VALID | {"cold_ms": 3990}).encode()
        handle_announcement(membership, body, ADDRESS, 2005, 2.0)
        self.assertIs(membership.local, before)

    def test_announcement_from_another_vm_is_rejected(self) -> None:
        body = json.dumps(VALID).encode()
        with self.assertRaises(AnnouncementError) as caught:
            handle_announcement(_membership(), body, "127.0.0.10", 0, 0.0)
        self.assertIs(caught.exception.code, ResultCode.ANNOUNCEMENT_FOREIGN)

    def test_malformed_announcements_are_rejected_with_a_result_code(self) -> None:
        malformed = [
            b"",
            b"\xff",
            b"[]",
            b"{}",
            json.dumps(VALID | {"slots": 0}).encode(),
            json.dumps(VALID | {"port": 70_000}).encode(),
            json.dumps(VALID | {"cold_ms": -1}).encode(),
            json.dumps(VALID | {"service": ""}).encode(),
            json.dumps(VALID | {"instance": "x" * 65}).encode(),
        ]
        membership = _membership()
        for body in malformed:
            with (
                self.subTest(body=body),
                self.assertRaises(AnnouncementError) as caught,
            ):
                handle_announcement(membership, body, ADDRESS, 0, 0.0)
            self.assertIs(caught.exception.code, ResultCode.ANNOUNCEMENT_INVALID)
        self.assertEqual(membership.local.servers, ())


class ClaimAboutLocalNodeTest(unittest.TestCase):
    def test_claim_that_this_node_is_unreachable_is_refuted(self) -> None:
        membership = _membership()
        before = membership.local.sequence
        membership.publish_claim(membership.local, MemberState.UNREACHABLE, "test", 0)
        self.assertIs(membership.local.state, MemberState.ALIVE)
        self.assertGreater(membership.local.sequence, before)

    def test_claim_that_this_node_is_gone_begins_a_new_incarnation(self) -> None:
        membership = _membership()
        before = membership.local.incarnation
        membership.publish_claim(membership.local, MemberState.GONE, "test", 10**15)
        self.assertGreater(membership.local.incarnation, before)
        self.assertTrue(membership.fenced)
        member = membership.get("vm-1")
        assert member is not None
        self.assertIs(member.state, MemberState.ALIVE)
