"""Validation of JSON from outside the process."""

import json

from schema import And, Optional, Schema, SchemaError

from oakramp.common.constants import NAME_LIMIT
from oakramp.common.errors import BadRequestError, TooLargeError


def is_name(text):
    """Whether this is 1 to NAME_LIMIT letters, digits, hyphens, underscores and dots."""
    return (
        isinstance(text, str)
        and 0 < len(text) <= NAME_LIMIT
        and all(letter.isalnum() or letter in "-_." for letter in text)
    )


NAME = And(str, is_name, error=f"must be 1 to {NAME_LIMIT} letters, digits, '-', '_' or '.'")


def whole(low, high):
    """A rule: a whole number from `low` to `high`."""
    return And(
        int,
        lambda number: type(number) is int and low <= number <= high,
        error=f"must be a whole number from {low} to {high}",
    )


def seconds(low, high):
    """A rule: a number of seconds from `low` to `high`."""
    return And(
        lambda number: type(number) in (int, float) and low <= number <= high, error=f"must be {low} to {high} seconds"
    )


def one_of(*texts):
    """A rule: one of these texts."""
    return And(lambda text: isinstance(text, str) and text in texts, error=f"must be one of {', '.join(texts)}")


def parse_json(data, limit, what="body"):
    """Returns the JSON object in `data`. Raises TooLargeError if it is over `limit` bytes, BadRequestError if it is not
    a JSON object."""
    if len(data) > limit:
        raise TooLargeError(f"{what} is over {limit} bytes")
    try:
        parsed = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"{what} is not JSON: {error}") from error
    if not isinstance(parsed, dict):
        raise BadRequestError(f"{what} must be a JSON object")
    return parsed


def _name_of(key):
    return getattr(key, "schema", key)


def _is_fine(rule, value):
    """Whether the value satisfies the rule, as far as that can be checked without building a schema for it."""
    if type(rule) is type:
        return isinstance(value, rule)
    try:
        return isinstance(rule, And) and (rule.validate(value), True)[1]
    except SchemaError:
        return False


def faults_of(rules, pairs, path=""):
    """Returns one line with the path for every field that is unknown, missing or invalid."""
    if not isinstance(pairs, dict):
        return [f"{path or 'body'}: must be an object"]
    prefix = f"{path}." if path else ""
    known = {_name_of(key): rule for key, rule in rules.items()}
    faults = [f"{prefix}{name}: is not a known field" for name in pairs if name not in known]
    faults += [f"{prefix}{key}: is missing" for key in rules if not isinstance(key, Optional) and key not in pairs]
    for name in known.keys() & pairs.keys():
        if _is_fine(known[name], pairs[name]):
            continue
        try:
            Schema(known[name]).validate(pairs[name])
        except SchemaError as error:
            texts = [text for text in error.errors if text] or [text for text in error.autos if text]
            faults.append(f"{prefix}{name}: {texts[-1]}")
    return sorted(faults)


def check_fields(rules, pairs):
    """Returns the fields, with None for absent optional ones. Raises BadRequestError that names every fault."""
    faults = faults_of(rules, pairs)
    if faults:
        raise BadRequestError("; ".join(faults), detail=faults)
    return {_name_of(key): pairs.get(_name_of(key)) for key in rules}


_ENCODER = json.JSONEncoder(separators=(",", ":"), sort_keys=True)  # json.dumps creates an encoder for each value


def pack_json(value):
    """Compact JSON with sorted keys."""
    return _ENCODER.encode(value).encode()
