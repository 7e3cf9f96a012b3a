"""Framed Thrift connections between the system's own processes."""
