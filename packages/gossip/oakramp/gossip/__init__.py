"""Pull-based gossip of replicated state: snapshots and deltas, selected by a vector of versions."""
