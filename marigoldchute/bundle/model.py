"""Bundle model: services, routes and moves as one immutable object."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Thresholds:
    """When a new release counts as faulty.

    Parameters
    ----------
    max_error_increase : float
        Tolerated excess of the new release's error share over the old one's.
    max_slow_increase : float
        Tolerated excess of the share of slow answers, where slow means above
        ``slow_ratio`` times the old release's 95th percentile.
    slow_ratio : float
        Latency ratio from which an answer counts as slow.
    false_alarm : float
        Probability of taking back a good release.
    """

    max_error_increase: float = 0.02
    max_slow_increase: float = 0.10
    slow_ratio: float = 2.0
    false_alarm: float = 0.001


@dataclasses.dataclass(frozen=True)
class Step:
    """One stage of a move.

    Parameters
    ----------
    share : float
        Share of the service's requests for the new release, 0 to 1.
    hold_ms : int
        Shortest time at this share before the next step.
    """

    share: float
    hold_ms: int


@dataclasses.dataclass(frozen=True)
class Move:
    """Order to take a service from one release to another.

    Parameters
    ----------
    move_id : str
        Unique name.
    service : str
        Service whose traffic moves.
    old_release, new_release : str
        Releases from which and to which traffic moves.
    start_ms, deadline_ms : int
        Wall-clock times in milliseconds since the epoch.
    steps : tuple of Step
        Rising shares; the last one is 1.
    watch_ms : int
        Time at full share during which a fault still takes the move back.
    thresholds : Thresholds
        Fault limits.
    """

    move_id: str
    service: str
    old_release: str
    new_release: str
    start_ms: int
    deadline_ms: int
    steps: tuple[Step, ...]
    watch_ms: int = 2000
    thresholds: Thresholds = Thresholds()


@dataclasses.dataclass(frozen=True)
class Service:
    """Resource that routes refer to.

    Parameters
    ----------
    name : str
        Service name, as announced by its backend servers.
    release : str
        Release that takes the traffic when no move is under way.
    internal : bool
        Whether only other backend servers may call it.
    depends_on : tuple of str
        Names of services of the same bundle that its backend servers call.
    max_connections : int
        Connections that each backend server accepts; as announced when 0.
    """

    name: str
    release: str
    internal: bool = False
    depends_on: tuple[str, ...] = ()
    max_connections: int = 0


@dataclasses.dataclass(frozen=True)
class RoutePart:
    """Service that takes a part of a route's requests.

    Parameters
    ----------
    service : str
        Name of a service of the same bundle.
    weight : float
        Its part, relative to the weights of the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Rule from a path prefix to a service.

    Parameters
    ----------
    name : str
        Route name, used in metrics and evidence.
    path_prefix : str
        Requests whose path starts with it take the route; the longest wins.
    service : str
        Name of the service in the same bundle.
    timeout_ms : int
        Deadline of a request that brings none.
    idempotent_methods : tuple of str
        HTTP methods that may run more than once.
    priority : int
        Admission class, 0 is served first and 2 is shed first.
    max_attempts : int
        Greatest number of tries, the first one included.
    sticky_header : str
        Request header whose hash picks the release; empty for random choice.
    host : str
        Host that the route belongs to; empty for every host.
    parts : tuple of RoutePart
        Services among which requests are divided; ``service`` takes all when empty.
    repeatable : bool or None
        Whether requests may run more than once; by method when None.
    objective_ms : int
        Time within which an answer has its full worth; 0 when none is stated.
    """

    name: str
    path_prefix: str
    service: str
    timeout_ms: int = 5000
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
    priority: int = 1
    max_attempts: int = 3
    sticky_header: str = ""
    host: str = ""
    parts: tuple[RoutePart, ...] = ()
    repeatable: bool | None = None
    objective_ms: int = 0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Greatest head and body of a request; a body has no limit when 0.
    head_timeout_ms : int
        Longest time from the first byte of a head to its last.
    idle_timeout_ms : int
        Longest time that a connection stays open without a request.
    """

    head_bytes: int = 65_536
    body_bytes: int = 0
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


@dataclasses.dataclass(frozen=True)
class BundleContent:
    """What an operator signs off, without a version number."""

    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    moves: tuple[Move, ...] = ()
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Signed description of a bundle; the content travels as chunks.

    Parameters
    ----------
    version : int
        Rises by one with each accepted bundle.
    chunks : tuple of str
        SHA-256 digests in hexadecimal, in order; the joined chunks decode to
        ``BundleContent``.
    digest : str
        SHA-256 of the version, the author, the token and the chunk digests.
    key_id : str
        Name of the signing key.
    signature : bytes
        Ed25519 signature over ``digest``.
    author : str
        Operator who signed off.
    token : str
        Unique token of the roll, by which a lost reply is resolved.
    """

    version: int
    chunks: tuple[str, ...]
    digest: str
    key_id: str
    signature: bytes
    author: str = ""
    token: str = ""


@dataclasses.dataclass(frozen=True)
class Bundle:
    """A verified bundle, ready to come into force."""

    manifest: Manifest
    content: BundleContent

    @property
    def version(self) -> int:
        """Version number."""
        return self.manifest.version
