"""Conditional writes whose lost replies are resolved by reading back."""

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

CREATE_ATTEMPTS = 5
RETRY_PAUSE_S = 0.1


@dataclasses.dataclass(frozen=True)
class Creation:
    """Outcome of a create.

    Parameters
    ----------
    value : bytes
        Value that the object holds.
    is_mine : bool
        Whether this writer's value stands.
    """

    value: bytes
    is_mine: bool


async def create_once(
    store: ObjectStore, key: str, value: bytes, is_mine: Callable[[bytes], bool]
) -> Creation:
    """Create an object unless it exists; say whose value stands.

    A write whose reply was lost may have taken effect, may do so later, or never. The
    object is read back, and created again while it is not there: a late first write
    then meets its own value under the condition and changes nothing.

    Parameters
    ----------
    store : ObjectStore
        Store to write to.
    key : str
        Object to create.
    value : bytes
        Value with a token that no other writer uses.
    is_mine : callable
        Whether a value that stands carries this writer's token.

    Returns
    -------
    Creation
        The value that stands.

    Raises
    ------
    UnknownOutcomeError
        It is not known which value stands.
    PlatformError
        The store refused the call before it took effect.
    """
    lost_reply = False
    for attempt in range(CREATE_ATTEMPTS):
        await trio.sleep(RETRY_PAUSE_S * attempt)
        try:
            await store.put(key, value, CREATE_ONLY)
            return Creation(value, True)
        except UnknownOutcomeError:
            lost_reply = True
        except ConflictError:
            pass
        except PlatformError as exc:
            if lost_reply:
                raise UnknownOutcomeError(f"outcome of {key} not known: {exc}") from exc
            raise
        try:
            standing = (await store.get(key)).value
        except NotFoundError:
            continue  # the write is not there yet, or the answer is from the past
        except PlatformError as exc:
            raise UnknownOutcomeError(f"outcome of {key} not known: {exc}") from exc
        return Creation(standing, is_mine(standing))
    raise UnknownOutcomeError(f"outcome of {key} is not known")
