"""A randomized soak of fronts: real processes, faults from outside them."""
