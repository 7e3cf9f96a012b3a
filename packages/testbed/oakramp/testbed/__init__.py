"""Stand-ins, fleet runner and simulator."""
