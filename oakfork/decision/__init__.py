"""The decision module of oakfork: decides for one gateway what becomes of each RPC.

A host calls `DecisionModule(settings, now)` once, then `module.handle(now, event)` for each event, in order,
and carries out the commands that this returns (types: oakfork/interface.py). Times are whole tenths of a
millisecond. The module owns all state of the gateway's quotas, servers, peers and RPCs, and does no I/O: it
reads no clock, has no global state and draws randomness from its seed only.

An event goes to `rpcs`, which passes frames on to `peer_links` and `quotas`, and lists, probes and results of
call-outs to `servers`. docs/design.md describes the mechanism; "Exception" marks a departure from it and says
when it applies.
"""

from oakfork.decision.rpcs import DecisionModule as DecisionModule
