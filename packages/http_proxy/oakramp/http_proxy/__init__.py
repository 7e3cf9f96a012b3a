"""Raw HTTP both ways: callers' requests in front, kept connections to replicas behind."""
