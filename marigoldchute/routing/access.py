"""Identification of the customer of a request by the key that its caller sent."""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

from marigoldchute.bundle.customer_keys import digest_key
from marigoldchute.errors import NotRunError, ResultCode
from marigoldchute.routing.customer_table import CustomerTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from marigoldchute.bundle.model import Bundle, Customer, Route
    from marigoldchute.events import EventLog
    from marigoldchute.routing.dialect import Dialect

SCHEME = b"bearer"
MAX_LOGGED_NAMES = 5


class KeyFault(enum.Enum):
    """Why a request has no valid key."""

    MISSING = "missing"
    MALFORMED = "malformed"
    REPEATED = "repeated"
    UNKNOWN = "unknown"
    PARENT_UNKNOWN = "parent_unknown"


class IdentitySource(enum.Enum):
    """How the customer of a request was determined."""

    NONE = "none"
    KEY = "key"
    PARENT = "parent"


_FAULT_TEXTS = {
    KeyFault.MISSING: "the request has no key",
    KeyFault.MALFORMED: "the authorization header is not of the form 'Bearer KEY'",
    KeyFault.REPEATED: "the request has more than one authorization header",
    KeyFault.UNKNOWN: "the key of the request is not known",
    KeyFault.PARENT_UNKNOWN: "the request has no key, and the one that makes it may be "
    "older than this process",
}

_FAULT_CODES = {KeyFault.PARENT_UNKNOWN: ResultCode.REQUEST_NOT_RUN_PARENT_UNKNOWN}


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Customer of a request, as far as it is known.

    Parameters
    ----------
    customer : str
        Name of the customer; empty when it is not known.
    priority : int or None
        Admission class of the customer's requests; None for that of the route.
    is_limited : bool
        Whether the request counts towards the customer's quota.
    source : IdentitySource
        How the customer was determined.
    """

    customer: str = ""
    priority: int | None = None
    is_limited: bool = False
    source: IdentitySource = IdentitySource.NONE


ANONYMOUS = Identity()


def parse_key(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | KeyFault:
    """Return the key in the headers of a request, or why there is none.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Lower-case names and values.
    name : bytes
        Lower-case name of the header that carries the key.
    """
    values = [value for key, value in headers if key == name]
    if not values:
        return KeyFault.MISSING
    if len(values) > 1:
        return KeyFault.REPEATED
    scheme, _, key = values[0].partition(b" ")
    is_one_word = len(key.split()) == 1 and key == key.strip()
    if scheme.lower() != SCHEME or not is_one_word:
        return KeyFault.MALFORMED
    return key


def _never(address: str) -> bool:
    return False


class AccessControl:
    """Decides which customer a request belongs to and whether it may run.

    It is in effect while the bundle in force has customers and the dialect has a
    header for keys.

    Parameters
    ----------
    dialect : Dialect
        Header names of callers and backend servers.
    log : EventLog
        Event log of the process.
    is_own_address : callable, optional
        Returns whether connections from an IP address originate on this VM.

    Attributes
    ----------
    table : CustomerTable
        Customers in force; another object after each change.
    own_headers : frozenset of bytes
        Names of request headers that are not forwarded as received.
    fault_counts : counter of KeyFault
        Requests that were rejected, by cause.
    source_counts : counter of IdentitySource
        Requests that were identified, by how their customer was determined. One that
        is identified again, after a change of the customers, counts again.
    """

    def __init__(
        self,
        dialect: Dialect,
        log: EventLog,
        is_own_address: Callable[[str], bool] = _never,
    ) -> None:
        self.table = CustomerTable()
        self.own_headers = dialect.mesh_request_headers
        self.fault_counts: collections.Counter[KeyFault] = collections.Counter()
        self.source_counts: collections.Counter[IdentitySource] = collections.Counter()
        self._dialect = dialect
        self._log = log
        self._is_own_address = is_own_address
        self._version = 0

    def on_bundle(self, bundle: Bundle) -> None:
        """Use the customers of a bundle that came into force."""
        self._version = bundle.version
        customers = bundle.content.customers
        if not self._dialect.authorization or self.table.has_customers(customers):
            return
        self.table = CustomerTable(customers)
        self.own_headers = self._dialect.mesh_request_headers
        if self.table:
            names = (self._dialect.customer, self._dialect.authorization)
            self.own_headers |= {name for name in names if name}
        self._log_table()

    def may_be_nested(
        self, headers: Iterable[tuple[bytes, bytes]], peer_address: str
    ) -> bool:
        """Return whether a request may be a call of a backend server of this VM.

        Backend servers have no keys. A request with one, valid or not, is that of a
        caller, whatever its id.

        Parameters
        ----------
        headers : iterable of (bytes, bytes)
            Lower-case names and values of the request's headers.
        peer_address : str
            IP address from which the request came.
        """
        if not self._is_own_address(peer_address):
            return False
        if not self.table:
            return True
        return all(name != self._dialect.authorization for name, _ in headers)

    def identify(
        self,
        headers: Iterable[tuple[bytes, bytes]],
        route: Route,
        parent_customer: str | None,
        may_lack_parent: bool = False,
    ) -> Identity:
        """Return the identity of a request.

        Parameters
        ----------
        headers : iterable of (bytes, bytes)
            Lower-case names and values of the request's headers.
        route : Route
            Route of the request.
        parent_customer : str or None
            Customer of the request that makes this one, empty if that is not known;
            None if the request is no nested call.
        may_lack_parent : bool
            Whether it may be a call of a request that is not known to this process.

        Raises
        ------
        NotRunError
            The request needs a key and has no valid one, or whether it needs one is
            not known yet.
        """
        if not self.table:
            return ANONYMOUS
        identity = self._find_identity(headers, route, parent_customer, may_lack_parent)
        self.source_counts[identity.source] += 1
        return identity

    def _find_identity(
        self,
        headers: Iterable[tuple[bytes, bytes]],
        route: Route,
        parent_customer: str | None,
        may_lack_parent: bool,
    ) -> Identity:
        if parent_customer is not None:
            return self._nested_identity(parent_customer)
        key = parse_key(headers, self._dialect.authorization)
        customer = None if isinstance(key, KeyFault) else self._find(key)
        if customer is not None:
            return Identity(
                customer.name,
                customer.priority,
                customer.rate_per_s > 0,
                IdentitySource.KEY,
            )
        if route.is_public:
            return ANONYMOUS
        if may_lack_parent:
            raise self._rejection(KeyFault.PARENT_UNKNOWN)
        raise self._rejection(key if isinstance(key, KeyFault) else KeyFault.UNKNOWN)

    def _find(self, key: bytes) -> Customer | None:
        return self.table.find(digest_key(key))

    def _nested_identity(self, name: str) -> Identity:
        customer = self.table.get(name)
        priority = None if customer is None else customer.priority
        return Identity(name, priority, source=IdentitySource.PARENT)

    def _rejection(self, fault: KeyFault) -> NotRunError:
        self.fault_counts[fault] += 1
        return NotRunError(
            _FAULT_TEXTS[fault],
            _FAULT_CODES.get(fault, ResultCode.REQUEST_NOT_RUN_UNAUTHORIZED),
            fields={"key": fault.value, "bundle": self._version},
        )

    def _log_table(self) -> None:
        table = self.table
        self._log.emit(
            "access",
            "customers",
            f"{len(table.customers)} customers with {table.key_count} keys are known.",
            customers=len(table.customers),
            keys=table.key_count,
            bundle=self._version,
        )
        if table.shared_by:
            self._log.emit(
                "access",
                "shared_keys",
                f"{len(table.shared_by)} customers have a key of another one; such a "
                "key identifies none of them.",
                customers=sorted(table.shared_by)[:MAX_LOGGED_NAMES],
                count=len(table.shared_by),
                bundle=self._version,
                code=ResultCode.BUNDLE_CUSTOMER_KEY_SHARED.value,
            )
