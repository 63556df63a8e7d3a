"""Randomized soak test: real front processes under injected faults."""
