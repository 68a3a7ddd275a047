"""Whether a hub's updates reach its nodes, by the heartbeats of those nodes."""

from dataclasses import dataclass, field

#: Time within which a node that missed an update and got the full state must
#: not miss another one, in seconds: some heartbeats.
REPEAT_SECONDS = 2.0


@dataclass(slots=True)
class UpdateDelivery:
    """Finds links on which a hub's updates are lost without an error.

    A hub gets no reply on its link to a node, so that a link that fell silent
    shows only in the node's heartbeats, which come on another one. `missed_at`
    is when a node's heartbeat last lacked an update, `silent` are nodes that
    lacked another one soon after.
    """

    missed_at: dict[str, float] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    #: Replies with the full state since the start.
    full_replies: int = 0

    def record_missed(self, node: str, now: float) -> None:
        """Record that a node's heartbeat shows that it missed an update."""
        if now - self.missed_at.get(node, float('-inf')) < REPEAT_SECONDS:
            self.silent.add(node)
        self.missed_at[node] = now

    def take_silent(self, node: str) -> bool:
        """Return once whether the link to a node has to be replaced."""
        if node not in self.silent:
            return False
        self.forget(node)
        return True

    def forget(self, node: str) -> None:
        """Forget what a node missed, or one that sends no heartbeats."""
        self.missed_at.pop(node, None)
        self.silent.discard(node)
