"""Moves of traffic between releases: schedule, evidence and verdict."""
