"""Sphinx configuration of the pages."""

from __future__ import annotations

from marigoldchute import __version__

project = "marigoldchute"
release = __version__
extensions = ["myst_parser"]
source_suffix = {".md": "markdown"}
exclude_patterns = ["_build"]
html_theme = "alabaster"
myst_heading_anchors = 3
