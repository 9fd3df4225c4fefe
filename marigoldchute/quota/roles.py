"""Choice of the members that collect the use of quotas."""

from __future__ import annotations

import hashlib

COORDINATOR_TOPIC = "quota-coordinator"
# A relay handles five reports a second of each node; larger data centres have several.
NODES_PER_RELAY = 64


def relay_topic(name: str, node_count: int) -> str:
    """Return the topic whose rendezvous order gives the relays of a node.

    Parameters
    ----------
    name : str
        Name of the node.
    node_count : int
        Number of nodes in its data centre.
    """
    group_count = max(1, -(-node_count // NODES_PER_RELAY))
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return f"quota-relay/{int.from_bytes(digest, 'big') % group_count}"
