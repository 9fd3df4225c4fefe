"""Settings of the client of the object API."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
TimeoutMs = Annotated[int, msgspec.Meta(ge=10, le=60_000)]
CallRate = Annotated[float, msgspec.Meta(gt=0, le=1000)]
BurstCalls = Annotated[float, msgspec.Meta(ge=1, le=10_000)]


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Where the platform's object API is and how often it may be called.

    Parameters
    ----------
    address : str
        IP address of the object API.
    port : int
        TCP port of the object API.
    calls_per_s : float
        Maximum sustained rate of calls from this node.
    burst_calls : float
        Calls that this node may make at once after an idle period.
    timeout_ms : int
        Time limit of one call without any byte of its response.
    """

    address: str
    port: Port
    calls_per_s: CallRate = 2.0
    burst_calls: BurstCalls = 60.0
    timeout_ms: TimeoutMs = 3000
