"""Client of an engine for the weights store."""

from dataclasses import dataclass
from urllib.parse import urlencode

from returns.result import Success

from turmericyard_bench.standins.weights_store import PREFIX, SIZE_HEADER
from turmericyard_http.client import ClientStream, HttpClient, create_client
from turmericyard_http.messages import quote_segment

OK = 200


@dataclass(frozen=True, slots=True)
class WeightsClient:
    """Fetches weights from one weights store for one engine."""

    engine: str
    http: HttpClient

    async def open_weights(
        self, model: str, version: str
    ) -> ClientStream | None:
        """Return the stream of the weights; None when the store refuses."""
        path = f'{PREFIX}{quote_segment(model)}/{quote_segment(version)}'
        query = urlencode({'engine': self.engine})
        opening = await self.http.open_stream('GET', f'{path}?{query}')
        if not isinstance(opening, Success):
            return None
        stream: ClientStream = opening.unwrap()
        if stream.status == OK:
            return stream
        await stream.close()
        return None


async def read_weights(stream: ClientStream) -> bool:
    """Read all weights; return whether they are complete."""
    missing = int(stream.headers[SIZE_HEADER])
    try:
        chunk = await stream.read()
        while chunk:
            missing -= len(chunk)
            chunk = await stream.read()
    except (OSError, EOFError):
        return False
    finally:
        await stream.close()
    return not missing


def create_weights_client(engine: str, address: str) -> WeightsClient | None:
    """Return the client of the store at `host:port`; None for no address."""
    return WeightsClient(engine, create_client(address)) if address else None
