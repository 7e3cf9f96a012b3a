"""What operators see of tenants in mutual eviction: who is trapped, why, what was moved, what it brought."""


def _now(finding):
    if finding is None:
        return "now silent"
    return f"now {finding['late']:.0%} late of {finding['requests']}"


def _moved(service, tenant, row, finding, mode):
    verb = "keeps to" if mode == "on" else "would keep to"
    why = (
        f"{row['evicted']:.0%} of its prompt tokens read again, {row['late']:.0%} late" if "late" in row else "unknown"
    )
    return f"{service} {tenant}: {verb} {', '.join(row['replicas'])}; when found: {why}; {_now(finding)}"


def _trapped(service, finding):
    room = "waits to be moved" if finding["room"] else "finds no room"
    return (
        f"{service} {finding['tenant']}: trapped, {room}; {finding['evicted']:.0%} of its prompt tokens read again because "
        f"of others, {finding['alone']:.0%} by itself, working set {finding['working_set']} tokens; {_now(finding)}"
    )


def lines_of(said):
    """A line a tenant, from the answer of /v1/placement."""
    found = {(service, one["tenant"]): one for service, rows in said["findings"].items() for one in rows}
    moved = {
        (service, tenant): (row, placed["mode"])
        for service, placed in said["services"].items()
        for tenant, row in placed["tenants"].items()
    }
    return [_moved(*key, row, found.get(key), mode) for key, (row, mode) in sorted(moved.items())] + [
        _trapped(key[0], one) for key, one in sorted(found.items()) if one["trapped"] and key not in moved
    ]
