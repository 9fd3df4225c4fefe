"""Operator commands for configurations of the platform."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Annotated

import cappa

from marigoldchute.cmd._program import print_json, run_action
from marigoldchute.cmd._render import render_review
from marigoldchute.errors import MarigoldchuteError, ResultCode
from marigoldchute.hosted.settings import parse_endpoint
from marigoldchute.platform.review import (
    Review,
    fetch_configuration,
    make_document,
    read_known_regions,
    review_configuration,
)
from marigoldchute.util.jsonc import load_file

if TYPE_CHECKING:
    from marigoldchute.objectstore.documents import Document

# The classes of the result codes are 1 to 7.
WARNINGS_EXIT_STATUS = 8


@cappa.command(name="check", help="Check a configuration before it is sent.")
@dataclasses.dataclass(frozen=True)
class ConfigCheckCommand:
    """Print errors, warnings and the differences from the version in force.

    The exit status is 0 without a finding, 8 with warnings only, 2 with an error,
    1 if an argument or a file is not usable, and 3 if the store is not.
    """

    file: Annotated[
        str, cappa.Arg(value_name="FILE", help="Configuration, JSON with comments.")
    ]
    against: Annotated[
        str,
        cappa.Arg(
            long="--against",
            value_name="FILE",
            help="File with the configuration in force.",
        ),
    ] = ""
    store: Annotated[
        str,
        cappa.Arg(
            long="--store",
            value_name="ADDRESS:PORT",
            help="Store from which the configuration in force is read.",
        ),
    ] = ""
    settings: Annotated[
        str,
        cappa.Arg(
            long="--settings",
            value_name="FILE",
            help="Settings file of a node, which names the known regions.",
        ),
    ] = ""
    regions: Annotated[
        list[str],
        cappa.Arg(
            long="--region", value_name="NAME", help="Known region; may be repeated."
        ),
    ] = dataclasses.field(default_factory=list)
    as_json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON for programs.")
    ] = False

    def __call__(self) -> int:
        """Check the file."""
        return run_action(self._check, self.as_json)

    async def _check(self) -> int:
        if self.against and self.store:
            raise MarigoldchuteError("give either --against or --store")
        document = make_document(load_file(self.file))
        regions = frozenset(self.regions)
        if self.settings:
            regions |= read_known_regions(self.settings)
        review = review_configuration(document, regions, await self._read_in_force())
        if self.as_json:
            print_json(review)
        else:
            print(render_review(review))
        return exit_status_of(review)

    async def _read_in_force(self) -> Document | None:
        if self.against:
            return make_document(load_file(self.against))
        if self.store:
            return await fetch_configuration(parse_endpoint("--store", self.store))
        return None


def exit_status_of(review: Review) -> int:
    """Return the exit status for a review."""
    if review.has_errors:
        return ResultCode.BUNDLE_MALFORMED.exit_status
    return WARNINGS_EXIT_STATUS if review.findings else 0


@cappa.command(name="config", help="Check configurations of a hosting platform.")
@dataclasses.dataclass(frozen=True)
class ConfigCommand:
    """Commands for configurations of a hosting platform."""

    command: cappa.Subcommands[ConfigCheckCommand]
