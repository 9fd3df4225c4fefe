"""Adapter to the platform: translates, and decides nothing."""
