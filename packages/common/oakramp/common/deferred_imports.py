"""Library modules whose code runs only when one of their names is first accessed.

Libraries import them for purposes that a daemon does not have, and all daemons start at once after a power loss. The
standard library's `importlib.util.LazyLoader` is not enough for packages, as importing a submodule would run them.
"""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from threading import RLock
from types import ModuleType

TYPE_CHECKING = False  # without the import of typing
if TYPE_CHECKING:
    from collections.abc import Sequence
    from importlib.abc import Loader
    from importlib.machinery import ModuleSpec
    from typing import Any

# Name of a module: for those of its names that are accessed in each start, the submodule that defines the name.
DEFERRED: dict[str, dict[str, str]] = {
    # Imported by twisted.internet.defer for its bridge to another event loop; imports TLS.
    "asyncio": {"AbstractEventLoop": "events", "Future": "futures", "iscoroutine": "coroutines"},
    # Imported by twisted.python.compat for an old name; imports HTTP and mail clients.
    "http.cookiejar": {},
    # Imported by twisted.python.reflect for one function.
    "pickle": {},
    # Only their submodules for the binary protocol in memory are used: no parser, JSON or sockets.
    "thriftpy2": {},
    "thriftpy2.protocol": {},
    "thriftpy2.transport": {},
}
_RUNNING = RLock()


class DeferredModule(ModuleType):
    """A placeholder for a module until a name is accessed that it does not have yet."""

    def __getattr__(self, name: str) -> Any:
        """Returns a submodule, a name of one, or a name that the module's own code defines, which is run for that."""
        submodule = DEFERRED[self.__name__].get(name)
        if submodule is not None:
            return getattr(import_module(f"{self.__name__}.{submodule}"), name)
        if PathFinder.find_spec(f"{self.__name__}.{name}", self.__dict__.get("__path__", ())) is not None:
            return import_module(f"{self.__name__}.{name}")
        with _RUNNING:
            if type(self) is DeferredModule:
                self.__class__ = ModuleType  # type: ignore[assignment]
                loader: Any = self.__loader__
                loader.run(self)
        return getattr(self, name)


class DeferringLoader:
    """Creates a module whose code the given loader runs later.

    It has the methods of importlib.abc.Loader but does not inherit from it: importing that would cost more than some of
    the deferred modules."""

    def __init__(self, loader: Loader) -> None:
        self._loader = loader

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Creates the module as the given loader does."""
        return self._loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        """Defers running the module's code."""
        module.__class__ = DeferredModule

    def run(self, module: ModuleType) -> None:
        """Runs the module's code."""
        self._loader.exec_module(module)


class DeferringFinder:
    """A finder of sys.meta_path for the modules of DEFERRED."""

    @staticmethod
    def find_spec(name: str, path: Sequence[str] | None, target: ModuleType | None = None) -> ModuleSpec | None:
        """Returns the usual spec with a loader that defers the code; None for modules that are not in DEFERRED."""
        if name not in DEFERRED:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = DeferringLoader(spec.loader)  # type: ignore[assignment]
        return spec


def install() -> None:
    """Defers the modules of DEFERRED from now on, except those that are already imported."""
    if DeferringFinder not in sys.meta_path:
        sys.meta_path.insert(0, DeferringFinder)
