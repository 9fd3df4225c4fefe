"""Benchmarks; their results are in bench/results."""
