"""Cost of one node's periodic work and state, by number of members.

Fills the tables of one node with synthetic member records, without other processes, and
measures the CPU time of the work that a node repeats. Prints the results as JSON and
writes them to bench/results/scale.json.
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

MEMBER_COUNTS = (58, 217, 435, 870)
DATA_CENTRE_COUNT = 7
SERVICE_COUNT = 25
REPETITION_COUNT = 20
RESULT_PATH = pathlib.Path(__file__).parent / "results" / "scale.json"


@dataclasses.dataclass(frozen=True)
class NodeMeasurements:
    """Measurements of one node with a given number of members.

    Parameters
    ----------
    members : int
        Members in the table.
    wanted_peers_ms, duty_ms : float
        CPU time to compute the wanted peers and the holder of a duty after a change, in
        milliseconds.
    kept_duty_ms, kept_wanted_ms : float
        CPU time to look up the holder of a duty and the wanted peers while nothing has
        changed, in milliseconds.
    links : int
        Number of links that this node opens.
    member_record_bytes : int
        Encoded size of one member record.
    state_kb : float
        Memory used by the record table and the members, in kilobytes.
    full_state_kb : float
        Bytes that a joining node receives, in kilobytes.
    one_bucket_ids_bytes : int
        Bytes of the record ids that are exchanged when one record differs.
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


def _make_member(number: int) -> Member:
    data_centre = number % DATA_CENTRE_COUNT
    name = f"vm-{number:04d}"
    service = f"service-{number % SERVICE_COUNT}"
    server = BackendServer(f"{name}/9100", service, "r1", 9100, 12, 110)
    return Member(
        name,
        1_796_379_678_285,
        3,
        f"10.{data_centre}.{number // 250}.{number % 250}",
        7000,
        f"centre-{data_centre}",
        "region-a" if data_centre < 4 else "region-b",
        servers=(server,),
    )


def _mean_cpu_ms(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(REPETITION_COUNT):
        action()
    return round((time.process_time() - started_s) * 1000 / REPETITION_COUNT, 3)


def _settings() -> NodeSettings:
    store = StoreSettings("127.0.0.1", 9000)
    return NodeSettings("vm-0000", "10.0.0.0", "centre-0", "region-a", store, ())


def measure(member_count: int) -> NodeMeasurements:
    """Measure one node with the given number of members."""
    tracemalloc.start()
    table = RecordTable()
    membership = Membership(_settings(), 1, table, MemoryEventLog())  # type: ignore[arg-type]
    for number in range(1, member_count):
        member = _make_member(number)
        body = msgspec.msgpack.encode(member)
        table.apply(Record(RecordKind.MEMBER, member.name, (1, 6), body))
    state_kb = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    local = membership.local
    records = table.of_kind(RecordKind.MEMBER)
    bucket = random.Random(1).randrange(NUM_BUCKETS)
    return NodeMeasurements(
        member_count,
        _mean_cpu_ms(lambda: wanted_peers(local, membership.all())),
        _mean_cpu_ms(lambda: rendezvous_order(membership.all(), "driver")),
        _mean_cpu_ms(lambda: membership.duties.holder("driver")),
        _mean_cpu_ms(membership.wanted_peers),
        len(wanted_peers(local, membership.all())),
        len(records[1].body),
        round(state_kb, 1),
        round(len(msgspec.msgpack.encode(records)) / 1000, 1),
        len(msgspec.msgpack.encode(table.ids_in_buckets([bucket]))),
    )


def main() -> None:
    """Measure every number of members, print the results and write them."""
    result = [
        dataclasses.asdict(measure(member_count)) for member_count in MEMBER_COUNTS
    ]
    text = json.dumps(result, indent=2)
    print(text)
    RESULT_PATH.write_text(text + "\n")


if __name__ == "__main__":
    main()
