"""An adapter without settings that tells which modules are loaded."""

import sys
from typing import Any

from returns.result import Failure, Result

from turmericyard_node.deferred_imports import DeferredModule


class ModuleLister:
    """The border of a node that ends at once."""

    def read_settings(self) -> Result[Any, str]:
        """Print the loaded modules and have no settings."""
        for name, module in tuple(sys.modules.items()):
            if not isinstance(module, DeferredModule):
                print(name)
        return Failure('no settings')


def create_border() -> ModuleLister:
    """Return the border."""
    return ModuleLister()
