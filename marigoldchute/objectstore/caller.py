"""Calls to an object API over HTTP with a budget, deadlines and a circuit breaker."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Sequence
from typing import TYPE_CHECKING, TypeVar

import httpcore
import trio

from marigoldchute.errors import PlatformError, ResultCode, UnknownOutcomeError
from marigoldchute.objectstore.backoff import Backoff
from marigoldchute.objectstore.budget import CallBudget
from marigoldchute.objectstore.circuit import CircuitBreaker
from marigoldchute.objectstore.messages import raise_for_status

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from marigoldchute.events import EventLog
    from marigoldchute.objectstore.settings import StoreSettings

MAX_CONNECTIONS = 8
MAX_RESPONSE_BYTES = 16_000_000  # A list or an object is a megabyte at most.
# A response of this size, or one that takes this long after its first byte, is logged.
LOGGED_RESPONSE_BYTES = 100_000
LOGGED_TRANSFER_S = 0.25
MAX_LOGGED_TARGET = 100
MAX_TRANSFER_S = 8.0  # For a response of a megabyte behind a connection of 1 Mbit/s.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0

_T = TypeVar("_T")

_RETRIED_CODES = frozenset(
    {
        ResultCode.STORE_UNAVAILABLE,
        ResultCode.STORE_THROTTLED,
        ResultCode.STORE_ANSWER_MALFORMED,
    }
)
_STORE_RESPONDED_CODES = frozenset(
    {
        ResultCode.STORE_CONFLICT,
        ResultCode.STORE_NOT_FOUND,
        ResultCode.STORE_THROTTLED,
        ResultCode.STORE_LOG_COMPACTED,
        ResultCode.STORE_VALUE_TOO_LARGE,
        ResultCode.STORE_ANSWER_TOO_LARGE,
    }
)


@dataclasses.dataclass(frozen=True)
class _Response:
    """Response of the store.

    Parameters
    ----------
    status : int
        HTTP status.
    content : bytes
        Body.
    transfer_s : float
        Time from the first byte to the last in seconds.
    headers : sequence of tuple of bytes
        Names and values of the header fields.
    """

    status: int
    content: bytes
    transfer_s: float
    headers: Sequence[tuple[bytes, bytes]]


class StoreCaller:
    """Sends the calls of one node to the platform's store, for any HTTP protocol.

    Each call has a deadline and uses one token of the node's call budget. Calls that
    are known not to have run, and all reads, are retried with full jitter until the
    deadline. A response that arrives slowly is given up only when no byte has arrived
    for the time limit of a call, or ``MAX_TRANSFER_S`` after its first byte. A write
    with an unknown outcome is not retried, because it may have run; the code that made
    the call resolves it.

    Parameters
    ----------
    settings : StoreSettings
        Address, call budget and time limit.
    rng : random.Random
        Source of back-off jitter.
    local_address : str
        IP address from which connections are opened; any when empty.
    log : EventLog, optional
        Event log of the process, for large and slow responses.
    on_response : callable, optional
        Called with the header fields of each response, whatever its status, right
        before its body is decoded.
    """

    def __init__(
        self,
        settings: StoreSettings,
        rng: random.Random,
        local_address: str = "",
        log: EventLog | None = None,
        on_response: Callable[[Sequence[tuple[bytes, bytes]]], None] | None = None,
    ) -> None:
        self._settings = settings
        self._on_response = on_response
        self._rng = rng
        self._log = log
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, local_address=local_address or None
        )
        self._budget: CallBudget | None = None
        self._circuit = CircuitBreaker(rng)
        self.calls = 0
        self.min_latency_s = float("inf")

    @property
    def is_reachable(self) -> bool:
        """Whether recent calls got a response."""
        return not self._circuit.is_open

    async def call(
        self,
        decode: Callable[..., _T],
        method: str,
        path: str,
        body: bytes | None = None,
        wait_ms: int = 0,
        content_type: str = "",
    ) -> _T:
        """Make a call and decode its response; see ``call_timed``."""
        result, _ = await self.call_timed(
            decode, method, path, body, wait_ms, content_type
        )
        return result

    async def call_timed(
        self,
        decode: Callable[..., _T],
        method: str,
        path: str,
        body: bytes | None = None,
        wait_ms: int = 0,
        content_type: str = "",
        on_piece: Callable[[], None] | None = None,
    ) -> tuple[_T, float]:
        """Make a call; return its decoded response and the time of its transfer.

        The time is that from the first byte of the response to its last, in seconds.

        Parameters
        ----------
        decode : callable
            Decodes the body of a response to a method.
        method, path : str
            HTTP method and request target.
        body : bytes, optional
            Body of the call.
        wait_ms : int
            Additional time for which the store may delay its response.
        content_type : str
            Content type of the body; not sent when empty.
        on_piece : callable, optional
            Called with each piece of the body that arrives.

        Raises
        ------
        PlatformError
            The call failed or was refused.
        UnknownOutcomeError
            The response to a write was lost.
        """
        deadline = trio.current_time() + (self._settings.timeout_ms + wait_ms) / 1000
        backoff = Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._rng)
        headers = [("content-type", content_type)] if content_type else None
        while True:
            try:
                response = await self._send_once(
                    method, path, body, headers, deadline, on_piece
                )
                return decode(response.content, method=method), response.transfer_s
            except PlatformError as exc:
                delay_s = backoff.next_delay_s()
                if exc.code not in _RETRIED_CODES:
                    raise
                if trio.current_time() + delay_s >= deadline:
                    raise
            await trio.sleep(delay_s)

    async def _send_once(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: list[tuple[str, str]] | None,
        deadline: float,
        on_piece: Callable[[], None] | None,
    ) -> _Response:
        await self._acquire_budget(deadline)
        url = f"http://{self._settings.address}:{self._settings.port}{path}"
        with self._track_outcome():
            self.calls += 1
            started_at = trio.current_time()
            response = await self._send(method, url, body, headers, deadline, on_piece)
            self.min_latency_s = min(
                self.min_latency_s, trio.current_time() - started_at
            )
            if self._on_response is not None:
                self._on_response(response.headers)
            raise_for_status(method, path, response.status, response.content)
            return response

    async def _acquire_budget(self, deadline: float) -> None:
        now = trio.current_time()
        if self._budget is None:
            rate, burst = self._settings.calls_per_s, self._settings.burst_calls
            self._budget = CallBudget(rate, burst, now)
        wait_s = self._budget.reserve(now, deadline - now)
        if wait_s is None:
            raise PlatformError(
                "this node's budget of store calls is spent",
                ResultCode.STORE_BUDGET_SPENT,
            )
        await trio.sleep(wait_s)

    @contextlib.contextmanager
    def _track_outcome(self) -> Iterator[None]:
        self._circuit.admit(trio.current_time())
        try:
            yield
        except PlatformError as exc:
            if exc.code in _STORE_RESPONDED_CODES:
                self._circuit.record_success()
            else:
                self._circuit.record_failure(trio.current_time())
            raise
        except BaseException:
            self._circuit.record_cancelled()
            raise
        self._circuit.record_success()

    async def _send(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: list[tuple[str, str]] | None,
        deadline: float,
        on_piece: Callable[[], None] | None,
    ) -> _Response:
        content = bytearray()
        started_at = trio.current_time()
        try:
            with trio.fail_at(deadline) as scope:
                async with self._pool.stream(
                    method, url, headers=headers, content=body
                ) as response:
                    started_at = trio.current_time()
                    await self._receive(response, method, content, scope, on_piece)
                    transfer_s = trio.current_time() - started_at
                    return _Response(
                        response.status, bytes(content), transfer_s, response.headers
                    )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise PlatformError(f"store cannot be reached: {exc}") from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ) as exc:
            raise _lost_response_error(method, exc) from exc
        finally:
            self._log_transfer(method, url, len(content), started_at)

    async def _receive(
        self,
        response: httpcore.Response,
        method: str,
        content: bytearray,
        scope: trio.CancelScope,
        on_piece: Callable[[], None] | None,
    ) -> None:
        """Receive a body; each piece extends the deadline."""
        latest = trio.current_time() + MAX_TRANSFER_S
        async for piece in response.aiter_stream():
            content += piece
            if on_piece is not None:
                on_piece()
            if len(content) > MAX_RESPONSE_BYTES:
                raise _too_large_error(method)
            silence_ends_at = trio.current_time() + self._settings.timeout_ms / 1000
            scope.deadline = max(scope.deadline, min(silence_ends_at, latest))

    def _log_transfer(
        self, method: str, url: str, size: int, started_at: float
    ) -> None:
        transfer_s = trio.current_time() - started_at
        is_slow = size > 0 and transfer_s >= LOGGED_TRANSFER_S
        if self._log is not None and (is_slow or size >= LOGGED_RESPONSE_BYTES):
            target = url.partition("/api/")[2]
            self._log.emit(
                "store",
                "large_response",
                f"{size} bytes of a response of the store took {transfer_s:.3f} s.",
                method=method,
                target=target[:MAX_LOGGED_TARGET],
                bytes=size,
                transfer_ms=round(transfer_s * 1000),
            )


def _too_large_error(method: str) -> PlatformError:
    detail = f"response of the store is over {MAX_RESPONSE_BYTES} bytes"
    if method != "GET":
        return UnknownOutcomeError(detail)
    return PlatformError(detail, ResultCode.STORE_ANSWER_TOO_LARGE)


def _lost_response_error(method: str, exc: Exception) -> PlatformError:
    if method == "GET":
        return PlatformError(f"store sent no response: {exc!r}")
    return UnknownOutcomeError(f"response of the store was lost: {exc!r}")
