"""Exception classes and numbered result codes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@enum.unique
class ResultCode(enum.IntEnum):
    """Numbered outcome of an operation; the hundreds digit is its class.

    The exit status of a program is the class: 0 for success, 1 for input, 2 for
    bundles, 3 for the platform, 4 for peers, 5 for requests, 6 for moves and
    7 for authentication.
    """

    OK = 0
    SETTINGS_INVALID = 101
    SETTINGS_UNREADABLE = 102
    ARGUMENT_INVALID = 103
    EVACUATION_INVALID = 104
    BUNDLE_MALFORMED = 201
    BUNDLE_REFERENCE_MISSING = 202
    BUNDLE_REFERENCE_CYCLE = 203
    BUNDLE_TOO_LARGE = 204
    BUNDLE_UNSIGNED = 205
    BUNDLE_SIGNATURE_INVALID = 206
    BUNDLE_KEY_UNKNOWN = 207
    BUNDLE_DIGEST_MISMATCH = 208
    BUNDLE_VERSION_NOT_HIGHER = 209
    BUNDLE_CHUNK_MISSING = 210
    BUNDLE_VERSION_TAKEN = 211
    BUNDLE_DUPLICATE_NAME = 212
    BUNDLE_VALUE_OUT_OF_RANGE = 213
    BUNDLE_PREDECESSOR_UNKNOWN = 214
    BUNDLE_KIND_UNKNOWN = 215
    BUNDLE_CUSTOMER_KEY_SHARED = 220
    STORE_UNAVAILABLE = 301
    STORE_CONFLICT = 302
    STORE_NOT_FOUND = 303
    STORE_THROTTLED = 304
    STORE_OUTCOME_UNKNOWN = 305
    STORE_BUDGET_SPENT = 306
    STORE_VALUE_TOO_LARGE = 307
    STORE_CIRCUIT_OPEN = 308
    STORE_ANSWER_MALFORMED = 309
    STORE_LOG_COMPACTED = 310
    STORE_ANSWER_TOO_LARGE = 311
    PEER_UNREACHABLE = 401
    PEER_PROTOCOL = 402
    PEER_TIMEOUT = 403
    ANNOUNCEMENT_INVALID = 404
    PEER_BUSY = 405
    PEER_REFUSED = 406
    ANNOUNCEMENT_FOREIGN = 407
    REQUEST_NOT_RUN_NO_BUNDLE = 501
    REQUEST_NOT_RUN_NO_ROUTE = 502
    REQUEST_NOT_RUN_NO_BACKEND = 503
    REQUEST_NOT_RUN_OVERLOADED = 504
    REQUEST_NOT_RUN_DEADLINE = 505
    REQUEST_NOT_RUN_DRAINING = 506
    REQUEST_NOT_RUN_INTERNAL_ONLY = 507
    REQUEST_NOT_RUN_REFUSED = 508
    REQUEST_NOT_RUN_MOVE_UNDECIDED = 509
    REQUEST_OUTCOME_UNKNOWN = 510
    REQUEST_OUTCOME_UNKNOWN_DEADLINE = 511
    REQUEST_CANCELLED = 512
    REQUEST_NOT_RUN_FENCED = 513
    REQUEST_NOT_RUN_EVACUATED = 514
    REQUEST_NOT_RUN_WARMING_UP = 515
    REQUEST_NOT_RUN_REGION = 516
    REQUEST_NOT_RUN_NO_MEMORY = 517
    REQUEST_NOT_RUN_CALLS_FAIL = 519
    REQUEST_MALFORMED = 520
    REQUEST_TOO_LARGE = 521
    REQUEST_SENDER_TIMEOUT = 522
    REQUEST_BODY_TOO_LARGE = 523
    REQUEST_NOT_RUN_UNAUTHORIZED = 530
    REQUEST_NOT_RUN_QUOTA = 531
    REQUEST_NOT_RUN_PARENT_UNKNOWN = 532
    MOVE_INVALID = 601
    MOVE_DEADLINE_TOO_SHORT = 602
    MOVE_CAPACITY_TOO_SMALL = 603
    MOVE_OVERLAP = 604
    MOVE_UNKNOWN = 605
    MOVE_TAKEN_BACK = 606
    MOVE_VERDICT_UNKNOWN = 607
    MOVE_ALREADY_DECIDED = 608
    MOVE_UNDECIDED_CHANGED = 609
    MOVE_OUTCOME_CONTRADICTED = 610
    AUTH_FAILED = 701

    @property
    def exit_status(self) -> int:
        """Exit status of a process that ends with this code."""
        return self.value // 100


class MarigoldchuteError(Exception):
    """Base class of the errors that this project raises.

    Parameters
    ----------
    message : str
        Short sentence for an operator.
    code : ResultCode, optional
        Numbered code; the default of the class when omitted.
    """

    code: ResultCode = ResultCode.ARGUMENT_INVALID

    def __init__(self, message: str, code: ResultCode | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self) -> str:
        return f"[{self.code.value} {self.code.name}] {self.message}"


class SettingsError(MarigoldchuteError):
    """The settings cannot be read or are not allowed."""

    code = ResultCode.SETTINGS_INVALID


class BundleError(MarigoldchuteError):
    """A bundle is invalid and must not come into force."""

    code = ResultCode.BUNDLE_MALFORMED


class EvacuationError(MarigoldchuteError):
    """An evacuation in the store is invalid and changes nothing."""

    code = ResultCode.EVACUATION_INVALID


class PlatformError(MarigoldchuteError):
    """A call to the platform's object API failed."""

    code = ResultCode.STORE_UNAVAILABLE


class ConflictError(PlatformError):
    """The condition of a conditional write was not met."""

    code = ResultCode.STORE_CONFLICT


class NotFoundError(PlatformError):
    """The store does not contain the object."""

    code = ResultCode.STORE_NOT_FOUND


class CompactedError(PlatformError):
    """A watch started from a revision that the store's log no longer contains."""

    code = ResultCode.STORE_LOG_COMPACTED


class UnknownOutcomeError(PlatformError):
    """The response to a write was lost, so the write may have taken effect."""

    code = ResultCode.STORE_OUTCOME_UNKNOWN


class PeerError(MarigoldchuteError):
    """A connection to another node, or a call over it, failed."""

    code = ResultCode.PEER_UNREACHABLE


class RequestError(MarigoldchuteError):
    """A caller's request got no response from a backend server."""

    code = ResultCode.REQUEST_OUTCOME_UNKNOWN


class NotRunError(RequestError):
    """A request was not executed, so it can be retried safely.

    Parameters
    ----------
    message : str
        Short sentence for an operator.
    code : ResultCode, optional
        Numbered code.
    retry_after_s : float
        Seconds after which capacity may be available; 0 when unknown.
    fields : mapping of str to object, optional
        Inputs of the decision, for the log.
    """

    code = ResultCode.REQUEST_NOT_RUN_NO_BACKEND

    def __init__(
        self,
        message: str,
        code: ResultCode | None = None,
        retry_after_s: float = 0.0,
        fields: Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(message, code)
        self.retry_after_s = retry_after_s
        self.fields = fields or {}


class MoveError(MarigoldchuteError):
    """A move cannot be rolled out or decided as requested."""

    code = ResultCode.MOVE_INVALID


class AuthError(MarigoldchuteError):
    """A peer or operator failed to authenticate itself."""

    code = ResultCode.AUTH_FAILED
