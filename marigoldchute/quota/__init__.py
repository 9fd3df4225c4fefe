"""Quotas of customers, which apply to the requests of all nodes together."""
