"""Identification of requests: nested call or not, and the customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.routing.access import ANONYMOUS

if TYPE_CHECKING:
    from marigoldchute.bundle.model import Route
    from marigoldchute.routing.access import AccessControl, Identity
    from marigoldchute.routing.call import Call
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from marigoldchute.routing.request_log import RequestLog
    from marigoldchute.routing.running_requests import RunningRequest, RunningRequests


class RequestIdentifier:
    """Tells nested calls from the requests of callers, and finds their customers.

    Parameters
    ----------
    access : AccessControl
        Decides about keys.
    running_requests : RunningRequests
        Requests that run on the backend servers of this VM.
    log : RequestLog
        Log of the entry.
    """

    def __init__(
        self, access: AccessControl, running_requests: RunningRequests, log: RequestLog
    ) -> None:
        self._access = access
        self._running_requests = running_requests
        self._log = log

    def find_parent(
        self, req: HttpRequest, responder: HttpResponder, request_id: str, now: float
    ) -> RunningRequest | None:
        """Return the request on this VM that makes a call, None if a caller does.

        Parameters
        ----------
        req : HttpRequest
            Request that may be a nested call.
        responder : HttpResponder
            Its responder, which knows where it came from.
        request_id : str
            Its id.
        now : float
            Monotonic time in seconds.
        """
        parent = self._running_requests.find_parent(request_id, now)
        if parent is None:
            return None
        if self._access.may_be_nested(req.headers, responder.peer_address):
            return parent
        self._log.emit_no_nested_call(request_id, parent, now)
        return None

    def identify(
        self,
        req: HttpRequest,
        responder: HttpResponder,
        route: Route,
        request_id: str,
        parent: RunningRequest | None,
        now: float,
    ) -> Identity:
        """Return the identity of a request.

        Parameters
        ----------
        req : HttpRequest
            Request to identify.
        responder : HttpResponder
            Its responder, which knows where it came from.
        route : Route
            Its route.
        request_id : str
            Its id.
        parent : RunningRequest or None
            Request that makes it, see ``find_parent``.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        NotRunError
            See ``AccessControl.identify``.
        """
        if not self._access.table:
            return ANONYMOUS
        may_lack_parent = (
            parent is None
            and self._running_requests.may_lack_parent(request_id, now)
            and self._access.may_be_nested(req.headers, responder.peer_address)
        )
        parent_customer = None if parent is None else parent.customer
        return self._access.identify(
            req.headers, route, parent_customer, may_lack_parent
        )

    def identify_again(self, call: Call, now: float) -> None:
        """Update the identity of a call after a change of the customers.

        Parameters
        ----------
        call : Call
            Call between two attempts. It is no nested call any more if its headers
            cannot be those of one while there are customers.
        now : float
            Monotonic time in seconds.

        Raises
        ------
        NotRunError
            See ``AccessControl.identify``.
        """
        req, responder = call.req, call.responder
        if not self._access.may_be_nested(req.headers, responder.peer_address):
            call.parent = None
        call.identity = self.identify(
            req,
            responder,
            call.route_entry.route,
            call.request_id,
            call.parent,
            now,
        )
        call.customer_table = self._access.table
