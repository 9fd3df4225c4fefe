"""Addresses, ports and plans of meshes on this machine's loopback network."""

from __future__ import annotations

import dataclasses
import socket

STORE_PORT = 9000
PROXY_PORT = 9001
BLOCK_LOCK_PORT = 9999
FIRST_BLOCK = 10
PROXY_BLOCK_OFFSET = 120
PEER_PORT = 7000
BACKEND_PORT = 9100
INTERNAL_PORT = 8001
CALLER_PORT = 8000
DATA_CENTRES = (
    ("cartago-norte", "cartago"),
    ("limon-muelle", "limon"),
    ("cartago-sur", "cartago"),
    ("limon-patio", "limon"),
)


class LoopbackBlock:
    """Reserves the addresses ``127.<number>.*.*`` for one mesh on this machine.

    Meshes that run at the same time get different numbers; the one for the proxy is
    ``number + PROXY_BLOCK_OFFSET``. The reservation ends with ``release``.
    """

    def __init__(self) -> None:
        for number in range(FIRST_BLOCK, FIRST_BLOCK + PROXY_BLOCK_OFFSET):
            sock = socket.socket()
            try:
                sock.bind((f"127.{number}.254.254", BLOCK_LOCK_PORT))
            except OSError:
                sock.close()
                continue
            self.number = number
            self._sock = sock
            return
        raise OSError("every loopback block is in use")

    def release(self) -> None:
        """Let other meshes have the addresses."""
        self._sock.close()


@dataclasses.dataclass(frozen=True)
class Vm:
    """One VM of the mesh."""

    name: str
    address: str
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True)
class MeshPlan:
    """What a mesh consists of.

    Parameters
    ----------
    vms : tuple of Vm
        VMs, each with a node.
    store_address : str
        IP number of the store stand-in.
    proxy_block : str
        First two bytes of the addresses under which the fault-injecting proxy offers
        the nodes and the store, for example ``127.110``; empty for no proxy.
    """

    vms: tuple[Vm, ...]
    store_address: str
    proxy_block: str = ""

    def reached_address(self, address: str) -> str:
        """Return the address under which others reach a VM or the store."""
        if not self.proxy_block:
            return address
        return ".".join([self.proxy_block, *address.split(".")[2:]])


def plan_mesh(
    block: int, centres: int, per_centre: int, proxied: bool = False
) -> MeshPlan:
    """Return a plan on loopback addresses ``127.<block>.*.*``.

    Parameters
    ----------
    block : int
        Second byte of the addresses.
    centres : int
        Data centres, taken alternately from the two regions.
    per_centre : int
        VMs of each data centre.
    proxied : bool
        Whether nodes and store are reached through the fault-injecting proxy.
    """
    vms = tuple(
        Vm(f"{name}-{i}", f"127.{block}.{number}.{i}", name, region)
        for number, (name, region) in enumerate(DATA_CENTRES[:centres], start=1)
        for i in range(1, per_centre + 1)
    )
    proxy_block = f"127.{block + PROXY_BLOCK_OFFSET}" if proxied else ""
    return MeshPlan(vms, f"127.{block}.200.1", proxy_block)
