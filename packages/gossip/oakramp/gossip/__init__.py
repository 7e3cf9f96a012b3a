"""Images and deltas, pulled by a vector of versions."""
