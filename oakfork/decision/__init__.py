"""The decision module of oakfork: one gateway's judgement of every RPC.

How it is called: DecisionModule(settings, now) once, then module.handle(now, event) for each event, in order;
it returns the commands to carry out (oakfork/interface.py). Times are whole tenths of a millisecond. No I/O,
clock or global state. The mechanism is described in docs/design.md; "Exception" marks a departure and says
when it acts."""

from oakfork.decision.rpcs import DecisionModule as DecisionModule
