"""Utilities shared by the other packages."""
