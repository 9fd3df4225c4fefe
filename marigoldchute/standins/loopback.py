"""Addresses, ports and plans of meshes on the loopback network of this machine."""

from __future__ import annotations

import dataclasses
import socket

STORE_PORT = 9000
PROXY_PORT = 9001
BLOCK_RESERVATION_PORT = 9999
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
    """Reservation of the addresses ``127.<number>.*.*`` for one mesh on this machine.

    Meshes that run at the same time get different numbers. The proxy of the mesh uses
    block ``number + PROXY_BLOCK_OFFSET``. ``release`` ends the reservation.
    """

    def __init__(self) -> None:
        for number in range(FIRST_BLOCK, FIRST_BLOCK + PROXY_BLOCK_OFFSET):
            sock = socket.socket()
            try:
                sock.bind((f"127.{number}.254.254", BLOCK_RESERVATION_PORT))
            except OSError:
                sock.close()
                continue
            self.number = number
            self._sock = sock
            return
        raise OSError("all loopback address blocks are in use")

    def release(self) -> None:
        """Release the addresses for other meshes."""
        self._sock.close()


@dataclasses.dataclass(frozen=True)
class Vm:
    """Name, address and location of a VM."""

    name: str
    address: str
    data_centre: str
    region: str


@dataclasses.dataclass(frozen=True)
class MeshPlan:
    """VMs and addresses of a mesh.

    Parameters
    ----------
    vms : tuple of Vm
        VMs, each with a node.
    store_address : str
        IP address of the store stand-in.
    proxy_block : str
        First two bytes of the addresses at which the fault-injecting proxy listens for
        the nodes and the store, for example ``127.110``; empty without a proxy.
    """

    vms: tuple[Vm, ...]
    store_address: str
    proxy_block: str = ""

    def reachable_address(self, address: str) -> str:
        """Return the address at which other processes reach a VM or the store."""
        if not self.proxy_block:
            return address
        return ".".join([self.proxy_block, *address.split(".")[2:]])


def plan_mesh(
    block: int, data_centre_count: int, vms_per_data_centre: int, proxied: bool = False
) -> MeshPlan:
    """Return the plan of a mesh on loopback addresses ``127.<block>.*.*``.

    Parameters
    ----------
    block : int
        Second byte of the addresses.
    data_centre_count : int
        Number of data centres, taken alternately from the two regions.
    vms_per_data_centre : int
        Number of VMs in each data centre.
    proxied : bool
        Whether processes reach nodes and store through the fault-injecting proxy.
    """
    vms = tuple(
        Vm(f"{name}-{i}", f"127.{block}.{number}.{i}", name, region)
        for number, (name, region) in enumerate(
            DATA_CENTRES[:data_centre_count], start=1
        )
        for i in range(1, vms_per_data_centre + 1)
    )
    proxy_block = f"127.{block + PROXY_BLOCK_OFFSET}" if proxied else ""
    return MeshPlan(vms, f"127.{block}.200.1", proxy_block)
