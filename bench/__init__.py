"""Benchmarks; their results stand in bench/results."""
