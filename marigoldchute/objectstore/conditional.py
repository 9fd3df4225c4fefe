"""Conditional writes that resolve a lost response by reading the object back."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.objectstore.api import CREATE_ONLY

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldchute.objectstore.api import ObjectStore

MAX_CREATE_ATTEMPTS = 5
RETRY_DELAY_STEP_S = 0.1


@dataclasses.dataclass(frozen=True)
class Creation:
    """Outcome of a create.

    Parameters
    ----------
    value : bytes
        Value that the object holds.
    is_own : bool
        Whether this writer's value was stored.
    """

    value: bytes
    is_own: bool


async def create_once(
    store: ObjectStore, key: str, value: bytes, is_own: Callable[[bytes], bool]
) -> Creation:
    """Create an object unless it exists, and return the value that is stored.

    A write whose response was lost may have taken effect, may do so later, or never.
    The object is read back, and created again while it does not exist. A first write
    that arrives after that finds the object with the same value: it fails its condition
    and changes nothing.

    Parameters
    ----------
    store : ObjectStore
        Store to write to.
    key : str
        Object to create.
    value : bytes
        Value with a token that no other writer uses.
    is_own : callable
        Returns whether a stored value carries this writer's token.

    Returns
    -------
    Creation
        The value that is stored.

    Raises
    ------
    UnknownOutcomeError
        It is unknown which value is stored.
    PlatformError
        The store refused the call before it took effect.
    """
    response_lost = False
    for attempt in range(MAX_CREATE_ATTEMPTS):
        await trio.sleep(RETRY_DELAY_STEP_S * attempt)
        try:
            await store.put(key, value, CREATE_ONLY)
            return Creation(value, True)
        except UnknownOutcomeError:
            response_lost = True
        except ConflictError:
            pass
        except PlatformError as exc:
            if response_lost:
                raise UnknownOutcomeError(
                    f"outcome of writing {key} is unknown: {exc}"
                ) from exc
            raise
        try:
            stored = (await store.get(key)).value
        except NotFoundError:
            # The write has not taken effect yet, or the store returned a stale state.
            continue
        except PlatformError as exc:
            raise UnknownOutcomeError(
                f"outcome of writing {key} is unknown: {exc}"
            ) from exc
        return Creation(stored, is_own(stored))
    raise UnknownOutcomeError(f"outcome of writing {key} is unknown")
