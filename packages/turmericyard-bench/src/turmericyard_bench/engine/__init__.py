"""Model of one engine, advanced step by step with an explicit clock.

`EngineModel` does continuous batching, stores tokens in blocks of limited
memory, preempts sequences, follows priorities, caches prompt prefixes and
starts cold. It reads no clock and draws no random numbers. The engine
stand-in and the experiments both use it.
"""
