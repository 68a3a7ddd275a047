"""An adapter that is told of new settings while the node still starts."""

import os
import signal
from typing import Any

from returns.result import Failure, Result


class PlatformAdapter:
    def read_settings(self) -> Result[Any, str]:
        return Failure('no settings file')


def create_border() -> PlatformAdapter:
    os.kill(os.getpid(), signal.SIGHUP)
    return PlatformAdapter()
