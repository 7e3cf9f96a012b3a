"""Writes messages.py from messages.thrift: `python -m oakramp.rpc.generate_messages`.

Parsing the IDL at run time took a tenth of a daemon's start time, and all daemons start at once after a power loss. A
test checks that messages.py is what this module writes.
"""

import os

import thriftpy2
from thriftpy2.thrift import TPayload

FOLDER = os.path.dirname(__file__)
HEADER = '''"""Structs of messages.thrift as classes. Written by oakramp.rpc.generate_messages; do not edit."""

# ruff: noqa: E501, N801, RUF012

from thriftpy2.thrift import TPayload
'''


def _value_type(described, names):
    """Source of a field's element type: None, a type code, a struct's name, or a pair for a list."""
    if isinstance(described, type):
        return names[described]
    if isinstance(described, tuple):
        return f"({', '.join(_value_type(one, names) for one in described)})"
    return repr(described)


def _struct_source(name, struct_class, names):
    """Source of one struct: thrift_spec maps each number to (type code, name, [element type,] required)."""
    lines = [
        f"class {name}(TPayload):",
        f'    """Struct `{name}`; messages.thrift says what is in it."""',
        "",
        "    thrift_spec = {",
    ]
    for number, field in sorted(struct_class.thrift_spec.items()):
        parts = [repr(field[0]), f'"{field[1]}"', *(_value_type(one, names) for one in field[2:])]
        lines.append(f"        {number}: ({', '.join(parts)}),")
    fields = ", ".join(f'("{field}", {default!r})' for field, default in struct_class.default_spec)
    return "\n".join([*lines, "    }", f"    default_spec = [{fields}]"])


def source():
    """The text of messages.py."""
    idl = thriftpy2.load(os.path.join(FOLDER, "messages.thrift"), module_name="oakramp_parsed_messages_thrift")
    structs = {
        name: found
        for name, found in vars(idl).items()
        if isinstance(found, type) and issubclass(found, TPayload) and found.__module__ == idl.__name__
    }
    names = {struct_class: name for name, struct_class in structs.items()}
    methods = sorted(idl.Node.thrift_services)
    parts = [HEADER, *(_struct_source(name, found, names) for name, found in structs.items())]
    for suffix in ("args", "result"):
        parts += [
            _struct_source(f"{method}_{suffix}", getattr(idl.Node, f"{method}_{suffix}"), names) for method in methods
        ]
    for table, suffix in (("ARGUMENTS", "args"), ("RESULTS", "result")):
        rows = "\n".join(f'    "{method}": {method}_{suffix},' for method in methods)
        parts.append(f"{table} = {{\n{rows}\n}}")
    return "\n\n".join([parts[0] + "\n", *(part + "\n" for part in parts[1:])])


if __name__ == "__main__":
    with open(os.path.join(FOLDER, "messages.py"), "w") as file:
        file.write(source())
