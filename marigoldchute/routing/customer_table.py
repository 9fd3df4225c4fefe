"""Customers of a bundle, prepared for lookup by the digest of a key."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from marigoldchute.bundle.customer_keys import DIGEST_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import Customer

# Compared with the digest of an unknown key, so that its lookup does the same work.
_NO_CUSTOMER: tuple[bytes, Customer | None] = (bytes(DIGEST_BYTES), None)


class CustomerTable:
    """Customers by the digests of their keys.

    A lookup takes one access to a hash table and one comparison in constant time,
    whatever the number of keys. A key that two customers have identifies neither.

    Parameters
    ----------
    customers : tuple of Customer
        Customers of a validated bundle.

    Attributes
    ----------
    shared_by : frozenset of str
        Names of the customers that have a key of another customer.
    """

    def __init__(self, customers: tuple[Customer, ...] = ()) -> None:
        self.customers = customers
        self._by_name = {customer.name: customer for customer in customers}
        self._by_digest: dict[bytes, tuple[bytes, Customer]] = {}
        shared_digests: set[bytes] = set()
        sharing_names: set[str] = set()
        for customer in customers:
            for digest in customer.key_digests:
                _, owner = self._by_digest.setdefault(digest, (digest, customer))
                if owner is not customer:
                    shared_digests.add(digest)
                    sharing_names |= {owner.name, customer.name}
        for digest in shared_digests:
            del self._by_digest[digest]
        self.shared_by = frozenset(sharing_names)

    def __bool__(self) -> bool:
        return bool(self.customers)

    @property
    def key_count(self) -> int:
        """Number of keys that identify a customer."""
        return len(self._by_digest)

    def has_customers(self, customers: Iterable[Customer]) -> bool:
        """Return whether the table holds these very customers, in this order."""
        others = tuple(customers)
        return len(others) == len(self.customers) and all(
            own is other for own, other in zip(self.customers, others, strict=True)
        )

    def find(self, digest: bytes) -> Customer | None:
        """Return the customer whose key has a digest, or None."""
        known, customer = self._by_digest.get(digest, _NO_CUSTOMER)
        return customer if hmac.compare_digest(known, digest) else None

    def get(self, name: str) -> Customer | None:
        """Return a customer by name, or None."""
        return self._by_name.get(name)
