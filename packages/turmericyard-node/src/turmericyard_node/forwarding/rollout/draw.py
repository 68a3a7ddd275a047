"""What is drawn and counted for one request while a version is rolled out."""

from dataclasses import dataclass

from turmericyard_ports.rollout import Version


@dataclass(slots=True)
class VersionDraw:
    """The version that was drawn for the next send of a request.

    `send` is the number of sends before it. `sent_at` and `version` are the
    time of the last send and the version of its endpoint. `is_counted` tells
    whether the request counts as sent to its service, `has_pace` whether the
    time of its first events was counted.
    """

    send: int = -1
    drawn_at: float = 0
    is_new: bool = False
    sent_at: float = 0
    version: Version = ''
    is_counted: bool = False
    has_pace: bool = False
