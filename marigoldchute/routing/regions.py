"""Regions in which requests may be served, by route and customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from marigoldchute.bundle.model import BundleContent

# Regions in which a request may be served; None for all, empty for none.
AllowedRegions = tuple[str, ...] | None


def intersect_regions(
    route_regions: Sequence[str], customer_regions: Sequence[str] = ()
) -> AllowedRegions:
    """Return the regions that both a route and a customer allow.

    Parameters
    ----------
    route_regions, customer_regions : sequence of str
        Regions that each allows; empty when it has no restriction.

    Returns
    -------
    tuple of str or None
        Sorted names; None without any restriction, and empty if both have one and no
        region satisfies both.
    """
    if route_regions and customer_regions:
        return tuple(sorted(set(route_regions) & set(customer_regions)))
    return tuple(sorted(set(route_regions or customer_regions))) or None


def is_allowed(region: str, allowed: AllowedRegions) -> bool:
    """Return whether a request may be served in a region."""
    return allowed is None or region in allowed


class RegionRules:
    """The restrictions of one bundle, by names of routes and customers.

    Parameters
    ----------
    content : BundleContent, optional
        Content of the bundle; None for no restriction.

    Attributes
    ----------
    restricts : bool
        Whether any route or customer has a restriction.
    """

    def __init__(self, content: BundleContent | None = None) -> None:
        routes = content.routes if content is not None else ()
        customers = content.customers if content is not None else ()
        self._by_route = {r.name: r.regions for r in routes if r.regions}
        self._by_customer = {c.name: c.regions for c in customers if c.regions}
        self._allowed: dict[tuple[str, str], AllowedRegions] = {}
        self.restricts = bool(self._by_route or self._by_customer)

    def allowed(self, route: str, customer: str = "") -> AllowedRegions:
        """Return the regions for the requests of a route and a customer.

        Parameters
        ----------
        route : str
            Name of the route.
        customer : str
            Name of the customer; empty when it is unknown or there is none.
        """
        route_regions = self._by_route.get(route, ())
        customer_regions = self._by_customer.get(customer, ())
        if not route_regions and not customer_regions:
            return None
        key = (route, customer if customer_regions else "")
        if key not in self._allowed:
            self._allowed[key] = intersect_regions(route_regions, customer_regions)
        return self._allowed[key]

    def may_exclude(self, route: str, region: str) -> bool:
        """Return whether a request of an unknown customer may be excluded here.

        Parameters
        ----------
        route : str
            Name of the route; empty if no route matches.
        region : str
            Region of the node that has the request.
        """
        if not self.restricts:
            return False
        if not is_allowed(region, self.allowed(route)):
            return True
        return any(region not in regions for regions in self._by_customer.values())


NO_REGION_RULES = RegionRules()
