"""A durable keyed table on a ring of preallocated files."""
