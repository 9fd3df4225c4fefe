"""Concurrent sending of a request body and receiving of the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def send_and_receive(
    send: Callable[[], Awaitable[None]], receive: Callable[[], Awaitable[None]]
) -> bool:
    """Run both; the end of ``receive`` or a failure of either cancels the other.

    Returns
    -------
    bool
        Whether ``send`` completed.

    Raises
    ------
    MarigoldchuteError
        The failure of ``receive``, or else that of ``send``.
    """
    sent = False
    failure: MarigoldchuteError | None = None
    async with trio.open_nursery() as nursery:

        async def run_send() -> None:
            nonlocal sent, failure
            try:
                await send()
                sent = True
            except MarigoldchuteError as exc:
                failure = exc
                nursery.cancel_scope.cancel()

        nursery.start_soon(run_send)
        try:
            await receive()
        except MarigoldchuteError as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    try:
        if failure is not None:
            raise failure
    finally:
        # A local variable that refers to the raised error would be a reference cycle.
        failure = None
    return sent
