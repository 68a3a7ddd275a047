"""A node as a process with limits, and what it uses."""

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from support.fleet_soak.nodes import NodeProcess

MEMORY_MB = 128
DESCRIPTORS = 400
KILOBYTE = 1024
BYTES_PER_MB = 1_048_576
SOCKET = re.compile(r'socket:\[(\d+)\]')
#: Fields of a line of /proc/net/tcp: sizes of the queues, and the inode.
QUEUES_FIELD = 4
INODE_FIELD = 9


@dataclass
class LimitedNode(NodeProcess):
    """A node process whose settings name limits; `used` has its peaks."""

    memory_mb: int = MEMORY_MB
    most_descriptors: int = 0
    most_unread: int = 0

    def settings(self) -> dict[str, Any]:
        settings = super().settings()
        settings['limits'] |= {
            'memoryMb': self.memory_mb,
            'maxFds': DESCRIPTORS,
        }
        return settings

    @property
    def folder(self) -> Path:
        return Path('/proc', str(self.running.popen.pid))

    def sample(self) -> None:
        """Note the open descriptors and the bytes received and not read."""
        inodes = set()
        count = 0
        for entry in (self.folder / 'fd').iterdir():
            count += 1
            try:
                found = SOCKET.match(str(entry.readlink()))
            except OSError:
                continue
            if found:
                inodes.add(found[1])
        lines = (self.folder / 'net' / 'tcp').read_text().splitlines()
        unread = sum(
            int(fields[QUEUES_FIELD].partition(':')[2], 16)
            for fields in map(str.split, lines[1:])
            if fields[INODE_FIELD] in inodes
        )
        self.most_descriptors = max(self.most_descriptors, count)
        self.most_unread = max(self.most_unread, unread)

    def peak_bytes(self) -> int:
        """Return the most resident memory of the process in its life."""
        status = (self.folder / 'status').read_text()
        line = re.search(r'VmHWM:\s+(\d+) kB', status)
        return int(line[1]) * KILOBYTE
