"""Connection arguments of the operator commands."""

from __future__ import annotations

import dataclasses
import ipaddress
import os
import pathlib
from typing import Annotated

import cappa

from marigoldchute.admin.client import AdminClient
from marigoldchute.errors import AuthError, MarigoldchuteError, ResultCode

NODE_VARIABLE = "MARIGOLDCHUTE_NODE"
TOKEN_VARIABLE = "MARIGOLDCHUTE_TOKEN"
TOKEN_FILE_VARIABLE = "MARIGOLDCHUTE_TOKEN_FILE"
ADMIN_PORT = 7100


@dataclasses.dataclass(frozen=True)
class Connection:
    """Node to call, admin token and output format.

    Parameters
    ----------
    node : str
        ``address`` or ``address:port`` of the administration API.
    token_file : str
        File that contains the admin token.
    as_json : bool
        Whether to print JSON instead of text.
    """

    node: Annotated[
        str,
        cappa.Arg(
            long="--node",
            short="-n",
            value_name="ADDRESS[:PORT]",
            default=cappa.Env(NODE_VARIABLE, default=""),
            help=f"Node to call, by IP address; port {ADMIN_PORT} by default. "
            f"Any member works. Also ${NODE_VARIABLE}.",
        ),
    ]
    token_file: Annotated[
        str,
        cappa.Arg(
            long="--token-file",
            short="-t",
            value_name="FILE",
            default=cappa.Env(TOKEN_FILE_VARIABLE, default=""),
            help="File with the admin token. "
            f"Also ${TOKEN_FILE_VARIABLE}, or the token itself in ${TOKEN_VARIABLE}.",
        ),
    ]
    as_json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON for programs.")
    ] = False

    def client(self) -> AdminClient:
        """Return a client of the node's administration API.

        Raises
        ------
        MarigoldchuteError
            The address or the token is missing or invalid.
        """
        return AdminClient(parse_node_address(self.node), self._read_token())

    def _read_token(self) -> str:
        if not self.token_file:
            token = os.environ.get(TOKEN_VARIABLE, "")
            if not token:
                raise AuthError(
                    "no admin token: give --token-file FILE, or set "
                    f"${TOKEN_FILE_VARIABLE} or ${TOKEN_VARIABLE}"
                )
            return token
        try:
            token = pathlib.Path(self.token_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise MarigoldchuteError(
                f"token file {self.token_file!r} cannot be read: {exc}",
                ResultCode.SETTINGS_UNREADABLE,
            ) from exc
        if not token:
            raise AuthError(f"token file {self.token_file!r} is empty")
        return token


def parse_node_address(text: str) -> str:
    """Validate ``address`` or ``address:port`` and return it with a port.

    Raises
    ------
    MarigoldchuteError
        The text is empty, or not an IPv4 address with a port from 1 to 65535.
    """
    if not text:
        raise MarigoldchuteError(
            f"no node: give --node ADDRESS[:PORT] or set ${NODE_VARIABLE}"
        )
    address, colon, port = text.partition(":")
    try:
        ipaddress.IPv4Address(address)
    except ValueError as exc:
        raise MarigoldchuteError(
            f"--node {text!r}: {address!r} is not an IP address like 10.1.2.3"
        ) from exc
    if not colon:
        return f"{address}:{ADMIN_PORT}"
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= 65535):
        raise MarigoldchuteError(
            f"--node {text!r}: port {port!r} is not a number from 1 to 65535"
        )
    return text
