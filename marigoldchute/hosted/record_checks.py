"""Checks of replicated records before a node stores and forwards them."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.bundle.limits import MAX_WALL_CLOCK_MS
from marigoldchute.errors import MarigoldchuteError
from marigoldchute.hosted.evacuation import (
    LIST_KEY,
    MAX_NAME_LENGTH,
    decode_evacuation,
    decode_list,
)
from marigoldchute.hosted.registry import decode_leave, decode_server
from marigoldchute.hosted.settings import MAX_PORT
from marigoldchute.membership.claims import decode_member
from marigoldchute.orders.book import decode_state
from marigoldchute.orders.model import OrderStage
from marigoldchute.overlay.records import RecordKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.membership.model import BackendServer
    from marigoldchute.overlay.records import Record, RecordTable

MAX_POSITION = 2**63 - 1  # Of the store; a record above it could not be replaced.
DECODE_ERRORS = (
    msgspec.DecodeError,
    ValueError,
    OverflowError,
    RecursionError,
    MarigoldchuteError,
)


def register_checks(table: RecordTable) -> None:
    """Make a table reject records that a listener could not read."""
    checks = {
        RecordKind.MEMBER: _is_member_valid,
        RecordKind.LEAVING: _is_leave_valid,
        RecordKind.VM_SERVER: _is_vm_server_valid,
        RecordKind.ORDER: _is_order_valid,
        RecordKind.EVACUATION: _is_evacuation_valid,
        RecordKind.EVACUATION_LIST: _is_evacuation_list_valid,
    }
    for kind, check in checks.items():
        table.register_validator(kind, _guard(check))


def _guard(check: Callable[[Record], bool]) -> Callable[[Record], bool]:
    def is_valid(record: Record) -> bool:
        try:
            return check(record)
        except DECODE_ERRORS:
            return False

    return is_valid


def _is_member_valid(record: Record) -> bool:
    member = decode_member(record)
    ipaddress.IPv4Address(member.address)
    return (
        member.name == record.key
        and member.incarnation == record.rank[0]
        and 0 < member.peer_port <= MAX_PORT
        and all(_is_server_valid(server) for server in member.servers)
    )


def _is_leave_valid(record: Record) -> bool:
    return 0 <= decode_leave(record) == record.rank[0] <= MAX_WALL_CLOCK_MS


def _is_vm_server_valid(record: Record) -> bool:
    return _is_server_valid(decode_server(record)) and record.rank[0] >= 0


def _is_server_valid(server: BackendServer) -> bool:
    return (
        0 < server.port <= MAX_PORT
        and server.slots > 0
        and server.connections > 0
        and 0 <= server.warm_at_ms <= MAX_WALL_CLOCK_MS
    )


def _is_order_valid(record: Record) -> bool:
    state = decode_state(record)
    OrderStage(state.stage)
    return (
        state.service == record.key
        and (state.number, state.step) == record.rank
        and 0.0 <= state.share <= 1.0
        and state.duration_s > 0.0
    )


def _is_evacuation_valid(record: Record) -> bool:
    is_active = decode_evacuation(record)
    return (
        0 < len(record.key) <= MAX_NAME_LENGTH
        and 0 <= record.rank[0] <= MAX_POSITION
        and record.rank[1] == int(is_active)
    )


def _is_evacuation_list_valid(record: Record) -> bool:
    names = decode_list(record)
    return (
        record.key == LIST_KEY
        and 0 <= record.rank[0] <= MAX_POSITION
        and all(0 < len(name) <= MAX_NAME_LENGTH for name in names)
    )
