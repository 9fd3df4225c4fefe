"""Metrics of a node in the Prometheus text format."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from marigoldchute.link.stats import NodeStats
from marigoldchute.routing.metrics import RouteLatency

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


METRIC_PREFIX = "marigoldchute"
US_PER_S = 1_000_000


@dataclasses.dataclass(frozen=True)
class NodeCounts:
    """Counters of a node's components since its start.

    Parameters
    ----------
    store_calls : int
        Calls to the platform's object API.
    latencies : tuple of RouteLatency
        Latency added to requests, by route and outcome.
    counters : mapping of str to int
        Additional counters by name, such as ``retries``.
    cut_requests : mapping of str to int
        Number of requests whose connection ended without a complete response, by cause.
    drain_s : float
        Seconds since the start of the drain; 0 when there is none.
    gauges : mapping of str to float
        Additional present values by name, such as ``evacuated_data_centres``.
    caller_bytes, max_caller_bytes : int
        Memory that callers' connections take, and their budget; 0 without a budget.
    """

    store_calls: int
    latencies: tuple[RouteLatency, ...] = ()
    counters: Mapping[str, int] = dataclasses.field(default_factory=dict)
    cut_requests: Mapping[str, int] = dataclasses.field(default_factory=dict)
    drain_s: float = 0.0
    gauges: Mapping[str, float] = dataclasses.field(default_factory=dict)
    caller_bytes: int = 0
    max_caller_bytes: int = 0


@dataclasses.dataclass(frozen=True)
class MoveShare:
    """Share of a move in force on this node."""

    move_id: str
    service: str
    share: float


@dataclasses.dataclass(frozen=True)
class NodeSnapshot:
    """Values of all metrics at one time.

    Parameters
    ----------
    version, newest_version : int
        Bundle version in force, and the newest signed version known.
    members : mapping of str to int
        Number of members by state.
    moves : tuple of MoveShare
        Moves of the bundle in force.
    stats : NodeStats
        Resource usage of the process.
    counts : NodeCounts
        Counters of the components.
    """

    version: int
    newest_version: int
    members: Mapping[str, int]
    moves: tuple[MoveShare, ...]
    stats: NodeStats
    counts: NodeCounts


def render_metrics(snapshot: NodeSnapshot) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_SnapshotCollector(snapshot))
    return generate_latest(registry)


class _SnapshotCollector:
    """Yields the metrics of a snapshot to the ``prometheus_client`` library."""

    def __init__(self, snapshot: NodeSnapshot) -> None:
        self._snapshot = snapshot

    def collect(self) -> Iterator[Metric]:
        """Yield every metric."""
        snapshot = self._snapshot
        yield from _bundle_metrics(snapshot)
        yield from _mesh_metrics(snapshot)
        yield from _resource_metrics(snapshot.stats, snapshot.counts.store_calls)
        for name, count in sorted(snapshot.counts.counters.items()):
            yield _counter(name, f"Number of {name.replace('_', ' ')}.", count)
        for name, value in sorted(snapshot.counts.gauges.items()):
            yield _gauge(name, f"Number of {name.replace('_', ' ')}.", value)
        if snapshot.counts.cut_requests:
            yield from _drain_metrics(snapshot.counts)
        if snapshot.counts.max_caller_bytes:
            yield from _caller_metrics(snapshot.counts)
        if snapshot.counts.latencies:
            yield _latency_metric(snapshot.counts.latencies)


def _caller_metrics(counts: NodeCounts) -> Iterator[Metric]:
    yield _gauge(
        "caller_bytes", "Memory that callers' connections take.", counts.caller_bytes
    )
    yield _gauge(
        "caller_bytes_limit",
        "Budget of the memory of callers' connections.",
        counts.max_caller_bytes,
    )


def _bundle_metrics(snapshot: NodeSnapshot) -> Iterator[Metric]:
    yield _gauge("bundle_version", "Bundle version in force.", snapshot.version)
    yield _gauge(
        "bundle_newest_version",
        "Newest signed bundle version known.",
        snapshot.newest_version,
    )


def _mesh_metrics(snapshot: NodeSnapshot) -> Iterator[Metric]:
    members = GaugeMetricFamily(
        f"{METRIC_PREFIX}_members", "Members known to this node.", labels=["state"]
    )
    for state, count in sorted(snapshot.members.items()):
        members.add_metric([state], count)
    yield members
    shares = GaugeMetricFamily(
        f"{METRIC_PREFIX}_move_share",
        "Share of requests for the new release of a move.",
        labels=["move", "service"],
    )
    for move in snapshot.moves:
        shares.add_metric([move.move_id, move.service], move.share)
    yield shares


def _resource_metrics(stats: NodeStats, store_calls: int) -> Iterator[Metric]:
    link_bytes = CounterMetricFamily(
        f"{METRIC_PREFIX}_link_bytes",
        "Bytes on links between nodes, without TCP headers.",
        labels=["purpose", "direction"],
    )
    link_bytes.add_metric(["control", "sent"], stats.control_bytes_sent)
    link_bytes.add_metric(["control", "received"], stats.control_bytes_received)
    link_bytes.add_metric(["traffic", "sent"], stats.traffic_bytes_sent)
    link_bytes.add_metric(["traffic", "received"], stats.traffic_bytes_received)
    yield link_bytes
    yield _gauge("links", "Open links to other nodes.", stats.links)
    yield _counter("store_calls", "Calls to the platform's object API.", store_calls)
    yield _counter("cpu_seconds", "Processor time.", stats.cpu_s)
    yield _gauge("resident_memory_bytes", "Resident memory.", stats.rss)
    yield _gauge("uptime_seconds", "Time since the start.", stats.uptime_s)


def _drain_metrics(counts: NodeCounts) -> Iterator[Metric]:
    cut_requests = CounterMetricFamily(
        f"{METRIC_PREFIX}_cut_requests",
        "Requests whose connection ended without a complete response.",
        labels=["cause"],
    )
    for cause, count in sorted(counts.cut_requests.items()):
        cut_requests.add_metric([cause], count)
    yield cut_requests
    yield _gauge("drain_seconds", "Time since the start of the drain.", counts.drain_s)


def _latency_metric(latencies: Iterable[RouteLatency]) -> Metric:
    name = f"{METRIC_PREFIX}_added_latency_seconds"
    metric = Metric(name, "Latency that this node added to requests.", "summary")
    for latency in latencies:
        labels = {"route": latency.route, "outcome": latency.outcome}
        for quantile, latency_us in _quantiles_us(latency):
            quantile_labels = labels | {"quantile": quantile}
            metric.add_sample(name, quantile_labels, latency_us / US_PER_S)
        metric.add_sample(f"{name}_count", labels, latency.count)
    return metric


def _quantiles_us(latency: RouteLatency) -> tuple[tuple[str, int], ...]:
    return (
        ("0.5", latency.p50_us),
        ("0.99", latency.p99_us),
        ("0.999", latency.p999_us),
        ("1", latency.max_us),
    )


def _gauge(name: str, help_text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"{METRIC_PREFIX}_{name}", help_text, value=value)


def _counter(name: str, help_text: str, value: float) -> Metric:
    return CounterMetricFamily(f"{METRIC_PREFIX}_{name}", help_text, value=value)
