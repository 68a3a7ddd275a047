"""Reads the head and the body of one request as they arrive."""

from typing import Any, Final

import curio
import h11

from turmericyard_http.intake.body import UNCOUNTED_BYTES, Body
from turmericyard_http.intake.chunked import ChunkedDecoder, MalformedChunk
from turmericyard_http.intake.input import HEAD_RECEIVE_BYTES

RECEIVE_BYTES: Final = 65_536
#: Bytes of a body in small chunks that are decoded in one turn of the loop,
#: which takes about a millisecond.
SMALL_CHUNKS_RECEIVE_BYTES: Final = 4096
#: Average length below which chunks are small, in bytes.
SMALL_CHUNK_BYTES: Final = 256
BAD_REQUEST: Final = 400
EMPTY_BODY: Final = b'0\r\n\r\n'


async def read_head(connection: Any) -> Any:
    """Return the h11 event of the next head, reading as needed."""
    protocol = connection.protocol
    source = connection.input
    while True:
        raw = source.take_head(connection.limits.header_bytes)
        if raw:
            protocol.receive_data(raw)
            return protocol.next_event()
        received = await source.sock.recv(HEAD_RECEIVE_BYTES)
        if source.end_reason is not None:
            source.check()
        if not received:
            protocol.receive_data(source.take(len(source.pending)))
            protocol.receive_data(b'')
            return protocol.next_event()
        if not connection.sending_closed:
            source.received += len(received)
            source.pending += received


async def read_body(connection: Any, headers: dict[str, str]) -> bytes:
    """Return the complete body of the request whose head was read.

    Raises RequestRefused or h11.RemoteProtocolError.
    """
    protocol = connection.protocol
    is_chunked = 'transfer-encoding' in headers
    length = 0 if is_chunked else int(headers.get('content-length', 0))
    if not (is_chunked or length):
        protocol.next_event()
        return b''
    source = connection.input
    limit = connection.limits.body_bytes
    if length and length <= min(UNCOUNTED_BYTES, limit, len(source.pending)):
        protocol.receive_data(source.take(length))
        content = bytes(protocol.next_event().data)
        protocol.next_event()
        return content
    body = Body(connection.state.intake.account, limit, connection.abort)
    connection.body = body
    if is_chunked:
        await read_chunks(connection, body)
    else:
        await body.expect(length)
        await read_length(connection, body, length)
    return body.complete()


async def read_length(connection: Any, body: Body, length: int) -> None:
    """Read a body with a length."""
    protocol = connection.protocol
    piece = connection.input.take(length)
    while length:
        if not piece:
            piece = await receive(connection, min(length, RECEIVE_BYTES))
        protocol.receive_data(piece)
        content = protocol.next_event().data
        body.data += content
        length -= len(content)
        piece = b''
    protocol.next_event()


async def read_chunks(connection: Any, body: Body) -> None:
    """Read a body in chunks; h11 is told that it was empty."""
    protocol = connection.protocol
    source = connection.input
    decoder = ChunkedDecoder()
    piece = source.take(len(source.pending))
    while True:
        if piece:
            await body.append(decode(decoder, piece))
        if decoder.ended:
            break
        is_small = len(body.data) < SMALL_CHUNK_BYTES * decoder.chunks
        piece = await receive(
            connection,
            SMALL_CHUNKS_RECEIVE_BYTES if is_small else RECEIVE_BYTES,
        )
        if not piece:
            protocol.receive_data(b'')
            protocol.next_event()
    source.pending = decoder.rest
    protocol.receive_data(EMPTY_BODY)
    protocol.next_event()


def decode(decoder: ChunkedDecoder, piece: bytes) -> bytes:
    """Return the content of chunks; raises RemoteProtocolError."""
    try:
        return decoder.feed(piece)
    except MalformedChunk as error:
        raise h11.RemoteProtocolError('malformed chunk', BAD_REQUEST) from error


async def receive(connection: Any, size: int) -> bytes:
    """Return the next bytes of a body, empty when the client has ended it.

    Other tasks have their turn first, which a read that need not wait does
    not give them.
    """
    if connection.protocol.they_are_waiting_for_100_continue:
        await connection.writer.send_event(
            h11.InformationalResponse(status_code=100, headers=[])
        )
    await curio.sleep(0)
    received: bytes = await connection.input.receive(size)
    connection.input.check()
    return received
