"""Retained program lines on the store machines."""
