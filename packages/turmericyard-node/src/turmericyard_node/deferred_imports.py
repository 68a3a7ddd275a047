"""Modules that are loaded when first used, not when they are imported.

Libraries import some large modules at their top and use them only in
functions that a node never calls. `importlib.util.LazyLoader` loads such a
module at the import statement already in Python 3.11.
"""

import sys
from collections.abc import Iterable
from importlib import import_module
from importlib.util import find_spec
from types import ModuleType
from typing import Any

#: What curio imports for its workers and for other event loops, and
#: websockets for versions that are not released.
UNUSED_BY_NODES = (
    'asyncio',
    'multiprocessing.connection',
    'importlib.metadata',
)


class DeferredModule(ModuleType):
    """Stands for a module until one of its names is used."""

    def __getattr__(self, name: str) -> Any:
        """Load the module and return what it has under a name."""
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        loaded = import_module(self.__name__)
        self.__dict__.update(loaded.__dict__)
        return getattr(loaded, name)


def defer_imports(names: Iterable[str] = UNUSED_BY_NODES) -> None:
    """Let each module load at the first use of one of its names.

    Modules that are loaded already stay as they are. Raises
    ModuleNotFoundError when there is no such module.
    """
    for name in names:
        if name in sys.modules:
            continue
        spec = find_spec(name)
        if spec is None:
            raise ModuleNotFoundError(name)
        deferred = DeferredModule(name)
        deferred.__spec__ = spec
        sys.modules[name] = deferred
