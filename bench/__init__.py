"""Benchmarks, run by `python -m bench NAME --seed N`."""
