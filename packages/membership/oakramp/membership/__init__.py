"""Node identity, members and their condition, choice of gossip peers, and saved addresses."""
