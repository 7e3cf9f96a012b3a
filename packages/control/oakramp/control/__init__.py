"""Owned control keys and their controllers."""
