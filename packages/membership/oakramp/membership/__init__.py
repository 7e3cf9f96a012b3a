"""Node identity, rendezvous cohorts, condition and learnt addresses."""
