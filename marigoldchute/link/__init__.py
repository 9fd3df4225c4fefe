"""Connections between nodes: framing, heartbeats, calls and streams."""
