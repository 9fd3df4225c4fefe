"""Messages with which nodes share the quotas of customers."""

from __future__ import annotations

import functools
import hashlib

import msgspec

ID_BYTES = 6  # Two of 10,000 customers have the same id with a chance of 2 in 10**7.

# Requests used and wanted since the last report, by the id of the customer.
Usages = dict[bytes, tuple[int, int]]


@functools.lru_cache(maxsize=16_384)
def customer_id(name: str) -> bytes:
    """Return the id by which messages refer to a customer."""
    return hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest()


class UseReport(msgspec.Struct, frozen=True, array_like=True):
    """Use of quotas since the last report of the sender.

    Parameters
    ----------
    node_count : int
        Number of nodes that the report is about.
    usages : dict of bytes to (int, int)
        Requests that used quota, and requests that wanted it, by customer. Customers
        without a request are left out.
    """

    node_count: int
    usages: Usages


class Shares(msgspec.Struct, frozen=True, array_like=True):
    """Response to a report.

    Parameters
    ----------
    age_ms : int
        Time since the coordinator determined the shares; negative when the sender
        knows none yet.
    rates : dict of bytes to float
        Requests per second that the receiver may admit, by customer. Customers that are
        far from their quota are left out and not limited.
    """

    age_ms: int
    rates: dict[bytes, float]


REPORT_DECODER = msgspec.msgpack.Decoder(UseReport)
SHARES_DECODER = msgspec.msgpack.Decoder(Shares)
ENCODER = msgspec.msgpack.Encoder()
