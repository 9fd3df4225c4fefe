"""Stand-ins for external systems, for the demo, the tests and the benchmarks."""
