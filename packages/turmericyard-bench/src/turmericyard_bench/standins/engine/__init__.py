"""Stand-in of one engine: the engine model on a real clock, over HTTP."""
