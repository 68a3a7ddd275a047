"""A socket whose failure reaches its reader, whichever task it is reported to."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, eq=False)
class ClientSocket:
    """A connected curio socket that one task reads while others write.

    The system reports the failure of a connection once, to the read or write
    that comes first; a read after that returns an end like the orderly end of
    the peer. Here the input of a failed connection never ends in order.
    """

    sock: Any
    #: The first failure that a read or write was told of.
    failure: OSError | None = None

    async def recv(self, size: int) -> bytes:
        """Return the next bytes, empty only after the peer's orderly end.

        Raises OSError when the connection failed, after all bytes that had
        arrived before were returned.
        """
        try:
            received: bytes = await self.sock.recv(size)
        except OSError as error:
            self.failure = self.failure or error
            raise
        if received or self.failure is None:
            return received
        raise ConnectionResetError(
            'the connection failed before its orderly end'
        ) from self.failure

    async def sendall(self, data: bytes) -> None:
        """Send bytes; raises OSError."""
        try:
            await self.sock.sendall(data)
        except BrokenPipeError:
            # The first failure of a write is a broken pipe only where the peer
            # ended its side in order before: its bytes are complete.
            raise
        except OSError as error:
            self.failure = self.failure or error
            raise

    async def shutdown(self, how: int) -> None:
        """Shut down one direction or both; raises OSError."""
        await self.sock.shutdown(how)

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()

    def fileno(self) -> int:
        """Return the descriptor, -1 once the socket is closed."""
        descriptor: int = self.sock.fileno()
        return descriptor

    def getsockopt(self, *option: int) -> Any:
        """Return the value of an option, as `socket.getsockopt` does."""
        return self.sock.getsockopt(*option)

    def setsockopt(self, *option: Any) -> None:
        """Set an option, as `socket.setsockopt` does."""
        self.sock.setsockopt(*option)
