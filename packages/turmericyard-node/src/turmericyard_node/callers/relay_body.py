"""Body of a streamed answer: the events of a relay, in order."""

from dataclasses import dataclass

from turmericyard_node.callers.relay import Relay


@dataclass(slots=True)
class RelayBody:
    """Iterates over the server-sent events of a relay.

    This is not an async generator, since closing one that was never started
    would not settle the relay.
    """

    relay: Relay
    started: bool = False
    ended: bool = False

    def __aiter__(self) -> 'RelayBody':
        return self

    async def __anext__(self) -> bytes:
        relay = self.relay
        if not self.started:
            self.started = True
            return relay.start_event() + relay.accept_initial()
        while relay.ending is None:
            chunk = await relay.next_chunk()
            if chunk:
                return chunk
        if self.ended:
            raise StopAsyncIteration
        self.ended = True
        return relay.end_event()

    async def aclose(self) -> None:
        """Settle the relay."""
        await self.relay.close()


def create_relay_body(relay: Relay) -> RelayBody:
    """Return the body of a relay; it counts as a stream until it is closed."""
    relay.application.streams.add(relay)
    return RelayBody(relay)
