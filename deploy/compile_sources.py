"""A step of the build: compiles the sources into target/byte_code, where platform/byte_code.py finds them."""

import os
import pathlib
import py_compile
import shutil
import sys

sys.dont_write_bytecode = True  # the build writes below target/ only
sys.path.append(os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform"))

from byte_code import BYTE_CODE_FOLDER, SOURCE_FOLDERS, cache_path  # noqa: E402


def main() -> None:
    """Deletes target/byte_code and compiles all sources into it."""
    shutil.rmtree(BYTE_CODE_FOLDER, ignore_errors=True)
    for folder in SOURCE_FOLDERS:
        for source in sorted(map(str, pathlib.Path(folder).rglob("*.py"))):
            timestamp = py_compile.PycInvalidationMode.TIMESTAMP
            py_compile.compile(source, cfile=cache_path(source), doraise=True, invalidation_mode=timestamp)


if __name__ == "__main__":
    main()
