"""An estimate of the memory that a JSON text takes once it is parsed."""

from oakramp.common.constants import JSON_ARRAY_COST, JSON_OBJECT_COST, JSON_STRING_COST, JSON_VALUE_COST


def parsed_size(data: bytes) -> int:
    """At least about as many bytes as the parsed values take; marks inside strings are counted as if they were
    structure."""
    strings = data.count(b'"') // 2
    return (
        len(data)
        + JSON_OBJECT_COST * data.count(b"{")
        + JSON_ARRAY_COST * data.count(b"[")
        + JSON_VALUE_COST * data.count(b",")
        + JSON_STRING_COST * strings
    )
