"""Immutable model of a bundle: services, routes, moves and caller limits."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Thresholds:
    """Limits beyond which a new release counts as faulty.

    Parameters
    ----------
    max_error_increase : float
        Tolerated increase of the error share of the new release over the old one.
    max_slow_increase : float
        Tolerated increase of the share of slow responses. A response is slow when its
        latency exceeds ``slow_ratio`` times the 95th percentile of the old release.
    slow_ratio : float
        Latency ratio above which a response counts as slow.
    false_alarm : float
        Probability of taking back a good release.
    """

    max_error_increase: float = 0.02
    max_slow_increase: float = 0.10
    slow_ratio: float = 2.0
    false_alarm: float = 0.001


@dataclasses.dataclass(frozen=True)
class Step:
    """One traffic share of a move and its minimum duration.

    Parameters
    ----------
    share : float
        Share of the service's requests that go to the new release, 0 to 1.
    hold_ms : int
        Minimum time at this share before the next step.
    """

    share: float
    hold_ms: int


@dataclasses.dataclass(frozen=True)
class Move:
    """Stepwise transfer of a service's traffic from one release to another.

    Parameters
    ----------
    move_id : str
        Unique name of the move.
    service : str
        Name of the service whose traffic is moved.
    old_release, new_release : str
        Releases from which and to which traffic is moved.
    start_ms, deadline_ms : int
        Wall-clock times in milliseconds since the epoch.
    steps : tuple of Step
        Steps with increasing shares; the last share is 1.
    watch_ms : int
        Time at full share during which a fault still causes the move to be taken back.
    thresholds : Thresholds
        Limits beyond which the new release counts as faulty.
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
    """Service that routes refer to.

    Parameters
    ----------
    name : str
        Service name, as announced by its backend servers.
    release : str
        Release that receives the traffic when no move is in progress.
    internal : bool
        Whether only other backend servers may call it.
    depends_on : tuple of str
        Names of services of the same bundle that its backend servers call.
    max_connections : int
        Connections that each backend server accepts; 0 for the announced number.
    warmup_s : float
        Time for which a backend server is cold after its start, in seconds; 0 when
        its backend servers need no warm-up.
    warmup_requests_per_s : float
        Requests per second that a cold backend server tolerates; 0 for no limit.
    """

    name: str
    release: str
    internal: bool = False
    depends_on: tuple[str, ...] = ()
    max_connections: int = 0
    warmup_s: float = 0.0
    warmup_requests_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class RoutePart:
    """Service that receives a share of the requests of a route.

    Parameters
    ----------
    service : str
        Name of a service of the same bundle.
    weight : float
        Weight relative to the other parts of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Rule that maps a path prefix to a service.

    Parameters
    ----------
    name : str
        Route name, used in metrics and evidence.
    path_prefix : str
        Requests whose path starts with it match the route; the longest prefix wins.
    service : str
        Name of the service in the same bundle.
    timeout_ms : int
        Timeout of a request that has no deadline of its own.
    idempotent_methods : tuple of str
        HTTP methods whose requests may be executed more than once.
    priority : int
        Admission class, 0 is served first and 2 is shed first.
    max_attempts : int
        Maximum number of attempts, including the first one.
    sticky_header : str
        Request header whose hash selects the release; empty for a random choice.
    host : str
        Host to which the route applies; empty for every host.
    parts : tuple of RoutePart
        Services that share the requests; ``service`` receives all when empty.
    repeatable : bool or None
        Whether requests may be executed more than once; None to decide by method.
    objective_ms : int
        Latency objective: a later response no longer has its full value. 0 for none.
    unknown_kind : str
        Kind of the route in the platform's configuration if this build does not know
        it; its requests are executed at most once. Empty otherwise.
    regions : tuple of str
        Regions in which requests may be served; empty for all.
    is_public : bool
        Whether requests need no key although the bundle has customers.
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
    unknown_kind: str = ""
    regions: tuple[str, ...] = ()
    is_public: bool = False


@dataclasses.dataclass(frozen=True)
class Customer:
    """Customer whose callers identify themselves with keys.

    Parameters
    ----------
    name : str
        Customer name, which backend servers receive.
    key_digests : tuple of bytes
        Keyed digests of the customer's keys; the keys themselves are not kept.
    priority : int or None
        Admission class of the customer's requests; None for that of the route.
    rate_per_s : float
        Requests per second that all nodes together may run; 0 for no limit.
    burst : float
        Requests beyond the rate that may run at once.
    regions : tuple of str
        Regions in which the customer's requests may be served; empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of what callers send.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Maximum size of the head and the body of a request; 0 means that the body has
        no limit.
    head_timeout_ms : int
        Maximum time from the first to the last byte of a head.
    idle_timeout_ms : int
        Maximum time that a connection stays open without a request.
    """

    head_bytes: int = 65_536
    body_bytes: int = 0
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


@dataclasses.dataclass(frozen=True)
class BundleContent:
    """Content of a bundle, which an operator signs together with a version number.

    With at least one customer, requests need a key unless their route is public.
    """

    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    moves: tuple[Move, ...] = ()
    limits: CallerLimits = CallerLimits()
    customers: tuple[Customer, ...] = ()


@dataclasses.dataclass(frozen=True)
class Manifest:
    """Signed description of a bundle, whose content is sent as separate chunks.

    Parameters
    ----------
    version : int
        Version number, which increases by one with each accepted bundle.
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
        Operator who signed the bundle.
    token : str
        Unique token of the roll, by which a writer recognizes its own manifest in the
        store after a lost response.
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
