"""Tenants whose prompt prefixes evict each other: seen, found, and given replicas of their own."""
