"""Experiments: `python -m bench NAME --seed N`."""
