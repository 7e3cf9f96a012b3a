"""Modules of libraries whose code runs only once a name of theirs is asked for.

Libraries import them for uses that a daemon has none of, and all daemons start at once after a power loss. The standard
library's `importlib.util.LazyLoader` is not enough for packages, as importing a submodule would run them.
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

# Name of a module: the submodules that hold those of its names which are asked for in each start.
DEFERRED: dict[str, dict[str, str]] = {
    # By twisted.internet.defer, for its bridge to another event loop; it brings TLS.
    "asyncio": {"AbstractEventLoop": "events", "Future": "futures", "iscoroutine": "coroutines"},
    # By twisted.python.compat, as an old name of it; it brings HTTP and mail clients.
    "http.cookiejar": {},
    # By twisted.python.reflect, for one function.
    "pickle": {},
    # Their submodules for the binary protocol in memory are all that is used: no parser, JSON or sockets.
    "thriftpy2": {},
    "thriftpy2.protocol": {},
    "thriftpy2.transport": {},
}
_RUNNING = RLock()


class DeferredModule(ModuleType):
    """A module that stands for itself until a name is asked for that it doesn't have yet."""

    def __getattr__(self, name: str) -> Any:
        """A submodule, a name of one, or what the module's own code makes, which is run for that."""
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
    """Makes a module whose code the given loader runs later.

    It has the methods of importlib.abc.Loader, whose import would cost more than some of what is deferred here."""

    def __init__(self, loader: Loader) -> None:
        self._loader = loader

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """The import system's usual module."""
        return self._loader.create_module(spec)

    def exec_module(self, module: ModuleType) -> None:
        """Leaves the module's code for later."""
        module.__class__ = DeferredModule

    def run(self, module: ModuleType) -> None:
        """Runs the module's code."""
        self._loader.exec_module(module)


class DeferringFinder:
    """A finder of sys.meta_path for the modules of DEFERRED."""

    @staticmethod
    def find_spec(name: str, path: Sequence[str] | None, target: ModuleType | None = None) -> ModuleSpec | None:
        """The usual spec with a loader that defers the code; None for all other modules."""
        if name not in DEFERRED:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = DeferringLoader(spec.loader)  # type: ignore[assignment]
        return spec


def install() -> None:
    """Defers these modules from now on, but for those that are imported already."""
    if DeferringFinder not in sys.meta_path:
        sys.meta_path.insert(0, DeferringFinder)
