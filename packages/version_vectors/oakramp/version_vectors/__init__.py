"""Dotted version vectors: comparison, sync, update and the opaque context."""
