"""marigoldchute-standin: stand-ins for store, backend servers, network and load."""

from __future__ import annotations

import dataclasses
import pathlib
import sys

import cappa
import msgspec
import trio

from marigoldchute.standins.backend import Backend, BackendSettings
from marigoldchute.standins.faultproxy import FaultProxy, ProxyPlan
from marigoldchute.standins.load import LoadGenerator, LoadPlan
from marigoldchute.standins.store import serve_store


@cappa.command(name="store", help="Serve a stand-in for the platform's object API.")
@dataclasses.dataclass(frozen=True)
class StoreCommand:
    """Serve the store stand-in on an address and port."""

    address: str
    port: int

    def __call__(self) -> int:
        """Serve until the process is stopped."""
        trio.run(serve_store, self.address, self.port)
        return 0


@cappa.command(name="backend", help="Serve a stand-in for a backend server.")
@dataclasses.dataclass(frozen=True)
class BackendCommand:
    """Serve the stand-in described by ``BackendSettings`` as JSON."""

    settings: str

    def __call__(self) -> int:
        """Serve until the process is stopped."""
        settings = msgspec.json.decode(self.settings, type=BackendSettings)
        trio.run(Backend(settings).run)
        return 0


@cappa.command(name="proxy", help="Serve a fault-injecting proxy.")
@dataclasses.dataclass(frozen=True)
class ProxyCommand:
    """Serve the proxy described by a file with a ``ProxyPlan`` as JSON."""

    plan: str

    def __call__(self) -> int:
        """Serve until the process is stopped."""
        plan = msgspec.json.decode(pathlib.Path(self.plan).read_bytes(), type=ProxyPlan)
        trio.run(FaultProxy(plan).run)
        return 0


@cappa.command(name="load", help="Send requests at a rate and print the latencies.")
@dataclasses.dataclass(frozen=True)
class LoadCommand:
    """Send the requests of a ``LoadPlan`` given as JSON; print a ``LoadResult``."""

    plan: str

    def __call__(self) -> int:
        """Send requests for the duration of the plan."""
        plan = msgspec.json.decode(self.plan, type=LoadPlan)
        result = trio.run(LoadGenerator(plan).run)
        print(msgspec.json.encode(result).decode())
        return 0


@cappa.command(name="marigoldchute-standin", help="Stand-ins for demo and tests.")
@dataclasses.dataclass(frozen=True)
class StandinCommand:
    """Command line of the stand-ins."""

    command: cappa.Subcommands[
        StoreCommand | BackendCommand | ProxyCommand | LoadCommand
    ]


def main() -> None:
    """Run the program."""
    sys.exit(cappa.invoke(StandinCommand))


if __name__ == "__main__":
    main()
