"""Replicated records and the links over which they spread."""
