"""Leases: one gateway of a fleet holds a task for a bounded term, without a disk or an external store.

A contender asks the voters of the fleet file for their votes, and holds the lease while a majority of them is given to
it. `voter`, `holder` and `fence` are pure: state and time go in, new state and messages come out, all times being whole
tenths of a millisecond on the machine's own steady clock. `durations` bounds times across clocks of different rates,
`messages` are the types that gateways exchange. `runner` owns the states of one gateway: datagrams of `fleet.transport`
and timers call the pure functions, whose replies go back to the transport.

docs/leases.md argues for safety and lists each assumption. Nothing here is imported unless a fleet file is named, and
never by `run` as deploy/balancer.toml has it.
"""
