"""Stand-ins for the systems outside the project, for the demo and the tests."""
