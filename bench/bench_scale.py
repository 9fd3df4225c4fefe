"""Cost of one node's periodic work and state at growing numbers of members.

Fills the tables of one node with made-up member records, without other processes, and
times what a node does at intervals. Prints one JSON object and writes it to
bench/results/scale.json.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec

from marigoldchute.config import NodeSettings, StoreSettings
from marigoldchute.events import MemoryEventLog
from marigoldchute.membership.model import BackendServer, Member
from marigoldchute.membership.service import Membership
from marigoldchute.overlay.records import NUM_BUCKETS, Record, RecordKind, RecordTable
from marigoldchute.overlay.topology import rendezvous_order, wanted_peers

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES = (58, 217, 435, 870)
CENTRES = 7
SERVICES = 25
REPEATS = 20
RESULT = pathlib.Path(__file__).parent / "results" / "scale.json"


@dataclasses.dataclass(frozen=True)
class ScaleFigures:
    """Figures of one node at a number of members.

    Parameters
    ----------
    members : int
        Members in the table.
    wanted_peers_ms, duty_ms : float
        Processor time of one derivation after a change, in milliseconds.
    kept_duty_ms, kept_wanted_ms : float
        Processor time of the question when nothing has changed, in milliseconds.
    links : int
        Links that this node opens.
    member_record_bytes : int
        Encoded size of one member record.
    state_kb : float
        Memory of the record table and the members, in kilobytes.
    full_state_kb : float
        Bytes that a joining node receives, in kilobytes.
    one_bucket_ids_bytes : int
        Bytes of the identities exchanged when one record differs.
    """

    members: int
    wanted_peers_ms: float
    duty_ms: float
    kept_duty_ms: float
    kept_wanted_ms: float
    links: int
    member_record_bytes: int
    state_kb: float
    full_state_kb: float
    one_bucket_ids_bytes: int


def _member(number: int) -> Member:
    centre = number % CENTRES
    name = f"vm-{number:04d}"
    service = f"service-{number % SERVICES}"
    server = BackendServer(f"{name}/9100", service, "r1", 9100, 12, 110)
    return Member(
        name,
        1_796_379_678_285,
        3,
        f"10.{centre}.{number // 250}.{number % 250}",
        7000,
        f"centre-{centre}",
        "region-a" if centre < 4 else "region-b",
        servers=(server,),
    )


def _time_ms(action: Callable[[], object]) -> float:
    begin = time.process_time()
    for _ in range(REPEATS):
        action()
    return round((time.process_time() - begin) * 1000 / REPEATS, 3)


def _settings() -> NodeSettings:
    store = StoreSettings("127.0.0.1", 9000)
    return NodeSettings("vm-0000", "10.0.0.0", "centre-0", "region-a", store, ())


def measure(size: int) -> ScaleFigures:
    """Measure one number of members."""
    tracemalloc.start()
    table = RecordTable()
    membership = Membership(_settings(), 1, table, MemoryEventLog())  # type: ignore[arg-type]
    for number in range(1, size):
        member = _member(number)
        body = msgspec.msgpack.encode(member)
        table.apply(Record(RecordKind.MEMBER, member.name, (1, 6), body))
    state_kb = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    local = membership.local
    records = table.of_kind(RecordKind.MEMBER)
    bucket = random.Random(1).randrange(NUM_BUCKETS)
    return ScaleFigures(
        size,
        _time_ms(lambda: wanted_peers(local, membership.all())),
        _time_ms(lambda: rendezvous_order(membership.all(), "driver")),
        _time_ms(lambda: membership.duties.holder("driver")),
        _time_ms(membership.wanted_peers),
        len(wanted_peers(local, membership.all())),
        len(records[1].body),
        round(state_kb, 1),
        round(len(msgspec.msgpack.encode(records)) / 1000, 1),
        len(msgspec.msgpack.encode(table.ids_in_buckets([bucket]))),
    )


def main() -> None:
    """Measure every size and print the figures."""
    result = [dataclasses.asdict(measure(size)) for size in SIZES]
    text = json.dumps(result, indent=2)
    print(text)
    RESULT.write_text(text + "\n")


if __name__ == "__main__":
    main()
