"""Traffic moves between releases: schedule, evidence and verdict."""
