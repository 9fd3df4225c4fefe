"""Records and messages of a peer that no component could read."""

from __future__ import annotations

import ipaddress
import random
import unittest
from typing import Any

import msgspec
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.model import BundleContent, Route, Service
from marigoldchute.events import HybridClock, MemoryEventLog
from marigoldchute.hosted.catalog import encode_difference, make_snapshot
from marigoldchute.hosted.node import HostedNode
from marigoldchute.hosted.reader_duty import Beacon
from marigoldchute.link.frames import FrameDecoder, FrameKind, encode_frame
from marigoldchute.link.handshake import PeerIdentity
from marigoldchute.link.link import Link
from marigoldchute.link.methods import Method
from marigoldchute.membership.claims import own_record
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.orders.model import OrderState
from marigoldchute.orders.outcomes import NodeOutcomes, RouteCounts
from marigoldchute.overlay.records import Record, RecordKind
from marigoldchute.platform.adapter import PlatformAdapter
from marigoldchute.platform.settings import parse_settings
from marigoldchute.routing.messages import RequestHead
from tests.support.memory_transport import MemoryTransport
from tests.test_platform.test_adapter import make_settings

SERVER = BackendServer("i@1", "turnos", "v1", 80, 6, 100)
PEER = Member("vm-2", 5, 1, "10.0.0.2", 7600, "a", "r", servers=(SERVER,))
STATE = OrderState("turnos", "v2", 7, 1, 0.05, 1, 16.0, ())
DEEP = b"\x91" * 5_000 + b"\x90"
ODD_VALUES = (None, -1, 0, 70_000, 2**63, 2**64 - 1, 1e300, "", "x" * 300, [], {}, [[]])


def make_records() -> list[Record]:
    """Return a valid record of each kind that a hosted node reads."""
    encode = msgspec.msgpack.encode
    return [
        own_record(PEER),
        Record(RecordKind.LEAVING, "i-1", (9, 0), encode([9])),
        Record(RecordKind.VM_SERVER, "vm-1", (9, 0), encode(SERVER)),
        Record(RecordKind.ORDER, "turnos", (7, 1), encode(STATE)),
        Record(RecordKind.ORDER_FAULT, "turnos/v2/7", (7, 0), b"slow"),
        Record(RecordKind.EVACUATION, "norte", (7, 1), encode([True])),
        Record(RecordKind.EVACUATION_LIST, "all", (7, 0), encode(["norte"])),
    ]


def make_messages() -> list[tuple[int, bytes]]:
    """Return a method and a valid body for each message between hosted nodes."""
    encode = msgspec.msgpack.encode
    content = BundleContent((Service("turnos", ""),), (Route("r", "/r/", "turnos"),))
    outcomes = NodeOutcomes(
        "vm-2", 5, STATE.order_id, [RouteCounts("r", True, 5, 1, 0)]
    )
    record_ids = [[1, "vm-2", [5, 2]]]
    return [
        (Method.PUSH_RECORDS, encode(make_records())),
        (Method.COMPARE_DIGESTS, encode([0] * 32)),
        (Method.PULL_RECORDS, encode([[1, 2], record_ids])),
        (Method.OFFER_BUNDLE, (9).to_bytes(8, "big")),
        (Method.FETCH_BUNDLE, (9).to_bytes(8, "big")),
        (Method.READER_BEACON, encode(Beacon("vm-2", 5, 1))),
        (Method.REPORT_OUTCOMES, encode(outcomes)),
        (99, encode_difference(None, make_snapshot(1, 1, content))),
    ]


def make_node(log: MemoryEventLog) -> HostedNode:
    """Return a node that is not running, with all of its handlers."""
    cfg = parse_settings(make_settings(), "node.json")
    rng = random.Random(1)
    return HostedNode(cfg, PlatformAdapter(cfg, rng), log, rng)  # type: ignore[arg-type]


def replace_part(value: Any, path: list[int], odd: Any) -> Any:
    """Return a decoded message with one of its parts replaced by another value."""
    if not path or not isinstance(value, (list, dict)) or not value:
        return odd
    items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
    key, inner = items[path[0] % len(items)]
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[key] = replace_part(inner, path[1:], odd)
    return copied


@st.composite
def damaged_bodies(draw: st.DrawFn, body: bytes) -> bytes:
    """Return a body with a part replaced, cut, or changed in some bytes."""
    way = draw(st.integers(0, 3))
    if way == 0:
        path = draw(st.lists(st.integers(0, 9), max_size=4))
        odd = draw(st.sampled_from(ODD_VALUES))
        try:
            return msgspec.msgpack.encode(
                replace_part(msgspec.msgpack.decode(body), path, odd)
            )
        except (msgspec.DecodeError, OverflowError):
            return body
    if way == 1:
        return body[: draw(st.integers(0, len(body)))]
    if way == 2:
        return draw(st.sampled_from([DEEP, b"\x92\x01" + DEEP, b"\xc1", b""]))
    start = draw(st.integers(0, len(body)))
    return body[:start] + draw(st.binary(max_size=4)) + body[start + 2 :]


class RecordCheckTest(unittest.TestCase):
    def apply(self, *records: Record) -> tuple[HostedNode, list[bool]]:
        """Apply records of a peer to a new node."""
        node = make_node(MemoryEventLog())

        async def main() -> list[bool]:
            table = node._registry._table
            return [table.apply(record, "vm-2") for record in records]

        return node, trio.run(main)

    def test_valid_records_are_stored(self) -> None:
        records = make_records()
        self.assertEqual(self.apply(*records)[1], [True] * len(records))

    def test_member_at_an_impossible_address_is_not_stored(self) -> None:
        """Answers a port of 0, -1 or 70000, at which a dial ends the process."""
        for address, port in (
            ("10.0.0.2", 0),
            ("10.0.0.2", -1),
            ("10.0.0.2", 70_000),
            ("nowhere.example", 7600),
            ("", 7600),
        ):
            record = own_record(Member("vm-9", 5, 1, address, port, "a", "r"))
            with self.subTest(address=address, port=port):
                node, stored = self.apply(record)
                self.assertEqual(stored, [False])
                self.assertIsNone(node.directory.get("vm-9"))

    def test_evacuation_that_no_later_one_could_replace_is_not_stored(self) -> None:
        """Guards against a data centre that a peer closes for good."""
        encode = msgspec.msgpack.encode
        for record in (
            Record(RecordKind.EVACUATION, "norte", (2**63, 1), encode([True])),
            Record(RecordKind.EVACUATION, "norte", (-1, 1), encode([True])),
            Record(RecordKind.EVACUATION, "norte", (7, 9), encode([True])),
            Record(RecordKind.EVACUATION, "", (7, 1), encode([True])),
            Record(RecordKind.EVACUATION_LIST, "more", (7, 0), encode(["norte"])),
            Record(RecordKind.EVACUATION_LIST, "all", (7, 0), encode([""])),
        ):
            with self.subTest(record=record):
                self.assertEqual(self.apply(record)[1], [False])

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(st.data())
    def test_damaged_record_is_stored_only_if_every_reader_can_read_it(
        self, data: st.DataObject
    ) -> None:
        record = data.draw(st.sampled_from(make_records()))
        body = data.draw(damaged_bodies(record.body))
        node, _ = self.apply(msgspec.structs.replace(record, body=body))
        for address, port in node.directory.wanted_peers().values():
            ipaddress.IPv4Address(address)
            self.assertIn(port, range(1, 65_536))


class MalformedMessageTest(unittest.TestCase):
    """Every handler of a node behind one link to a peer that holds the secret."""

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.data())
    def test_no_message_raises_an_unexpected_error(self, data: st.DataObject) -> None:
        frames = []
        for _ in range(data.draw(st.integers(1, 4))):
            method, body = data.draw(st.sampled_from(make_messages()))
            kind = data.draw(st.sampled_from([FrameKind.CALL, FrameKind.NOTIFY]))
            damaged = data.draw(damaged_bodies(body))
            frames.append((kind, 2, method.to_bytes(2, "big") + damaged))
        early_count = data.draw(st.integers(0, len(frames)))
        self.assert_expected(frames, early_count)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.data())
    def test_no_request_raises_an_unexpected_error(self, data: st.DataObject) -> None:
        head = RequestHead(
            "1",
            "r",
            "turnos",
            "v1",
            "i@1",
            b"GET",
            b"/",
            b"",
            900,
            1,
            True,
            True,
            False,
        )
        body = data.draw(damaged_bodies(msgspec.msgpack.encode(head)))
        frames = [(FrameKind.OPEN, 1, body), (FrameKind.DATA, 1, b"x")]
        self.assert_expected(frames, 0)

    def assert_expected(
        self, frames: list[tuple[int, int, bytes]], early_count: int
    ) -> None:
        log = MemoryEventLog()
        trio.run(
            self._send_to_node,
            log,
            frames,
            early_count,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
        failures = [event.text for event in log.events if event.event == "failure"]
        self.assertEqual(failures, [])

    async def _send_to_node(
        self,
        log: MemoryEventLog,
        frames: list[tuple[int, int, bytes]],
        early_count: int,
    ) -> None:
        node = make_node(log)
        ours, theirs = trio.testing.memory_stream_pair()
        link = Link(
            MemoryTransport(ours, theirs),
            FrameDecoder(),
            PeerIdentity("vm-2", 5, "a", "r"),
            "control",
            False,
            node._link_endpoint._handlers,
            HybridClock(),
            1000,
            frames[:early_count],
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            for kind, number, body in frames[early_count:]:
                try:
                    await theirs.send_all(encode_frame(kind, number, body))
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    break
                await trio.testing.wait_all_tasks_blocked()
            await theirs.aclose()
