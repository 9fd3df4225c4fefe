"""Budget of the memory that callers' connections take, over all of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Share of the machine's memory. A node process takes 40 to 60 MB without callers, and
# the other half of a machine of 200 MB is left to links, bundles and transient objects.
MEMORY_SHARE = 0.2
# When the machine's memory is unknown; the share of a machine of 320 MB.
DEFAULT_BUDGET_BYTES = 64_000_000
MIN_BUDGET_BYTES = 8_000_000
# Closing stops at this share of the budget, so that one overflow is not followed by
# another at once, and small connections find room again.
LOW_WATER_RATIO = 0.8
# A connection that takes no more is an ordinary one. It is only closed when the budget
# does not suffice for ordinary ones alone, and then down to the second ratio: to select
# connections takes time that depends on the number of all.
ORDINARY_BYTES = 32_768
ORDINARY_LOW_WATER_RATIO = 0.95


def budget_bytes(memory_mb: float) -> int:
    """Return the budget on a machine of a size in megabytes, 0 if it is unknown."""
    if memory_mb <= 0.0:
        return DEFAULT_BUDGET_BYTES
    return max(MIN_BUDGET_BYTES, int(memory_mb * 1_000_000 * MEMORY_SHARE))


class MemoryAccount:
    """Memory that one connection takes.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that the memory counts against.
    on_exceeded : callable
        Closes the connection.

    Attributes
    ----------
    held_bytes : int
        Memory that the connection takes at present.
    """

    __slots__ = ("_budget", "_on_exceeded", "held_bytes")

    def __init__(self, budget: MemoryBudget, on_exceeded: Callable[[], None]) -> None:
        self._budget = budget
        self._on_exceeded: Callable[[], None] | None = on_exceeded
        self.held_bytes = 0

    def update(self, held_bytes: int) -> None:
        """Set the memory that the connection takes."""
        if self._on_exceeded is None:
            return
        added_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        budget = self._budget
        budget.held_bytes += added_bytes
        if added_bytes > 0 and budget.held_bytes > budget.limit_bytes:
            budget.close_largest()

    def close(self) -> None:
        """End the account; the memory counts as released."""
        self._budget.discard(self)
        self._on_exceeded = None
        self.held_bytes = 0

    def exceed(self) -> None:
        """Close the connection because it is among those that take the most."""
        on_exceeded = self._on_exceeded
        self.close()
        if on_exceeded is not None:
            on_exceeded()


class MemoryBudget:
    """Closes the connections that take the most memory when all exceed a limit.

    Parameters
    ----------
    limit_bytes : int
        Memory that all connections together may take.
    on_closed : callable, optional
        Called after connections were closed, with their number, the memory that was
        held before, and the memory that was held by the largest of them.

    Attributes
    ----------
    held_bytes : int
        Memory that all connections hold.
    closed_count : int
        Number of connections that were closed.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_BUDGET_BYTES,
        on_closed: Callable[[int, int, int], None] | None = None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.on_closed = on_closed
        self.held_bytes = 0
        self.closed_count = 0
        self._accounts: set[MemoryAccount] = set()

    def open_account(self, on_exceeded: Callable[[], None]) -> MemoryAccount:
        """Return the account of a new connection."""
        account = MemoryAccount(self, on_exceeded)
        self._accounts.add(account)
        return account

    def discard(self, account: MemoryAccount) -> None:
        """Remove an account and the memory that it holds."""
        if account in self._accounts:
            self._accounts.discard(account)
            self.held_bytes -= account.held_bytes

    def close_largest(self) -> None:
        """Close the connections that take the most, down to the low water mark."""
        held_bytes = self.held_bytes
        selected = select_largest(self._accounts, held_bytes, self.limit_bytes)
        largest_bytes = max(account.held_bytes for account in selected)
        for account in selected:
            account.exceed()
        self.closed_count += len(selected)
        if self.on_closed is not None:
            self.on_closed(len(selected), held_bytes, largest_bytes)


def select_largest(
    accounts: set[MemoryAccount], held_bytes: int, limit_bytes: int
) -> list[MemoryAccount]:
    """Return the accounts to close, the largest first.

    Accounts are closed until ``LOW_WATER_RATIO`` of the limit is held, those of
    ordinary connections until ``ORDINARY_LOW_WATER_RATIO`` of it is.

    Parameters
    ----------
    accounts : set of MemoryAccount
        All accounts.
    held_bytes : int
        Memory that they hold together, more than the limit.
    limit_bytes : int
        Memory that they may hold.
    """
    selected = []
    for account in sorted(accounts, key=lambda item: item.held_bytes, reverse=True):
        is_ordinary = account.held_bytes <= ORDINARY_BYTES
        ratio = ORDINARY_LOW_WATER_RATIO if is_ordinary else LOW_WATER_RATIO
        if held_bytes <= ratio * limit_bytes:
            break
        selected.append(account)
        held_bytes -= account.held_bytes
    return selected
