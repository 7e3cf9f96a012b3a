"""Exploring schedules: the daemons' own control classes under a scheduler that chooses each next step."""
