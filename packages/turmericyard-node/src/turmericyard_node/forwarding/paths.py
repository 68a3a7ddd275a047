"""Opens this node's connections to endpoints."""

from dataclasses import dataclass

from turmericyard_http.connection import ClientConnection, Connect, connect


@dataclass(slots=True)
class EndpointPaths:
    """The ways from this node to endpoints; `dial` connects directly."""

    dial: Connect = connect

    async def connect(
        self, address: str, user_timeout_seconds: float = 0
    ) -> ClientConnection:
        """Return a new connection to an endpoint; raises OSError."""
        return await self.dial(address, user_timeout_seconds)

    async def is_refused(self, address: str) -> bool:
        """Return whether nothing listens at an endpoint's address."""
        try:
            connection = await self.dial(address, 0)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        await connection.close()
        return False
