"""Bundles from the platform's store to every node."""
