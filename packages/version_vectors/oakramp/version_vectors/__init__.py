"""Dotted version vectors: leq, sync, update and the opaque context."""
