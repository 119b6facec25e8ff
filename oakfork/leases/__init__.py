"""Leases for tasks that one gateway of a fleet does for all: one holder a task, for a bounded term, with no disk and no
outside store. The argument for safety, with each assumption: docs/leases.md.

`voter`, `holder` and `fence` are pure: state and time in, state and messages out, all times whole tenths of a
millisecond on the machine's own steady clock. `runner` is the trio part. Nothing here is imported unless a fleet
file is named (docs/leases.md), and never by `run` as deploy/balancer.toml has it.
"""
