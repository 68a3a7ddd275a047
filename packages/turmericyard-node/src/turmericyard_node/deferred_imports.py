"""Modules that are loaded at their first use, not when they are imported.

Some libraries import large modules at module level but use them only in
functions that a node never calls. `importlib.util.LazyLoader` does not help:
in Python 3.11 it loads such a module at the import statement.
"""

import sys
from collections.abc import Iterable
from importlib import import_module
from importlib.util import find_spec
from types import MappingProxyType, ModuleType
from typing import Any

#: Modules that curio imports for its workers and for other event loops, that
#: multiprocessing imports for temporary addresses, and that websockets imports
#: for unreleased versions and for the date in the opening of a peer's channel.
UNUSED_BY_NODES = (
    'asyncio',
    'multiprocessing.connection',
    'importlib.metadata',
    'tempfile',
    'email.utils',
)


#: Attributes that curio copies while it is imported, and uses only in channels
#: between processes. Reading them does not load the module.
COPIED_BY_CURIO = MappingProxyType(
    {
        'multiprocessing.connection': MappingProxyType(
            {
                'MESSAGE_LENGTH': 20,
                'CHALLENGE': b'#CHALLENGE#',
                'WELCOME': b'#WELCOME#',
                'FAILURE': b'#FAILURE#',
            }
        )
    }
)


class DeferredModule(ModuleType):
    """Placeholder for a module until one of its attributes is read."""

    def __getattr__(self, name: str) -> Any:
        """Load the module and return its attribute of that name."""
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        loaded = import_module(self.__name__)
        self.__dict__.update(loaded.__dict__)
        return getattr(loaded, name)


def defer_imports(names: Iterable[str] = UNUSED_BY_NODES) -> None:
    """Defer loading each module until one of its attributes is read.

    Modules that are already loaded are not changed. Raises
    ModuleNotFoundError when a module does not exist.
    """
    for name in names:
        if name in sys.modules:
            continue
        spec = find_spec(name)
        if spec is None:
            raise ModuleNotFoundError(name)
        deferred = DeferredModule(name)
        deferred.__spec__ = spec
        deferred.__dict__.update(COPIED_BY_CURIO.get(name, {}))
        sys.modules[name] = deferred
        package, _, attribute = name.rpartition('.')
        if package:
            # An import statement sets this only for a module that it loads.
            setattr(sys.modules[package], attribute, deferred)
