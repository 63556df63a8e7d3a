"""Stand-ins of the second review: store, backend servers, callers, fronts."""
