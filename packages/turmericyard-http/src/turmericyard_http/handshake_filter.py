"""A packet filter that makes a listener drop new handshakes.

Closing a listener resets the connections whose handshake completes between the
last accept and the close. A listener that first drops SYN segments, and closes
after the handshakes in progress have completed, resets none. A client that
connects meanwhile sends its SYN again and is then refused, before it has sent
any byte of a request.
"""

import socket as system_socket
import struct
from array import array
from typing import Any, Final

#: Linux's socket option for a classic packet filter.
SO_ATTACH_FILTER: Final = 26

LOAD_BYTE: Final = 0x30
AND: Final = 0x54
JUMP_IF_EQUAL: Final = 0x15
RETURN: Final = 0x6

#: Offset of the flags in a TCP header, and the flags SYN and ACK.
FLAGS_OFFSET: Final = 13
SYN: Final = 0x2
ACK: Final = 0x10
ACCEPT: Final = 0xFFFFFFFF
DROP: Final = 0

#: Each instruction: code, jump if true, jump if false, operand.
INSTRUCTIONS: Final = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, ACCEPT),
)


def drop_new_handshakes(listener: Any) -> bool:
    """Make the listener drop SYN segments; False where not supported."""
    program = array(
        'B', b''.join(struct.pack('HBBI', *each) for each in INSTRUCTIONS)
    )
    address, _ = program.buffer_info()
    try:
        listener.setsockopt(
            system_socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack('HP', len(INSTRUCTIONS), address),
        )
    except OSError:
        return False
    return True
