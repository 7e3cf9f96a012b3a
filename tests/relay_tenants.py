"""Tenants and their keys in a configuration in the platform's format, for test clients and the checker."""


def tenant_item(name, keys, **options):
    """The configuration entry of one tenant."""
    return {"name": name, "stamps": list(keys)} | options


def holder_of(document, key):
    """The name of the tenant that holds this key in the configuration, or None."""
    return next((one["name"] for one in document.get("senders", ()) if key in one["stamps"]), None)


def is_admitted(document, route, key):
    """Whether the configuration lets a request with this key, or with None, run on the route found for it."""
    if "senders" not in document or (key is None and route.get("unstamped", False)):
        return True
    return holder_of(document, key) is not None
