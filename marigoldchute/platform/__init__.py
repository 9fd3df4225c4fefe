"""Adapter to the platform: translates its formats and makes no decisions."""
