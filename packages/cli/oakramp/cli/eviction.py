"""The text of `oakrampctl eviction`: which tenants evict each other's prefixes, which were moved, and with what effect."""


def _current_state(finding):
    if finding is None:
        return "now without requests"
    return f"now {finding['late']:.0%} late of {finding['requests']}"


def _moved_line(service, tenant, row, finding, mode):
    verb = "keeps to" if mode == "on" else "would keep to"
    why = (
        f"{row['evicted']:.0%} of its prompt tokens recomputed, {row['late']:.0%} late" if "late" in row else "unknown"
    )
    return f"{service} {tenant}: {verb} {', '.join(row['replicas'])}; when found: {why}; {_current_state(finding)}"


def _trapped_line(service, finding):
    room = "waits to be moved" if finding["room"] else "finds no room"
    return (
        f"{service} {finding['tenant']}: mutual eviction, {room}; {finding['evicted']:.0%} of its prompt tokens recomputed because "
        f"of others, {finding['alone']:.0%} by itself, working set {finding['working_set']} tokens; {_current_state(finding)}"
    )


def format_placement(placement):
    """One line for each tenant, from the response of /v1/placement."""
    findings = {(service, one["tenant"]): one for service, rows in placement["findings"].items() for one in rows}
    moved = {
        (service, tenant): (row, placed["mode"])
        for service, placed in placement["services"].items()
        for tenant, row in placed["tenants"].items()
    }
    return [_moved_line(*key, row, findings.get(key), mode) for key, (row, mode) in sorted(moved.items())] + [
        _trapped_line(key[0], one) for key, one in sorted(findings.items()) if one["trapped"] and key not in moved
    ]
