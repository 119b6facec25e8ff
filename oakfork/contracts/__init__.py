"""Contracts: capacity reserved for tenants in stated windows, so many legs a second however much others ask for.

A leg is one request to one site; an ordinary RPC has one leg, which goes to the home site. `contracts_file` reads what
operators sell. Each gateway has a share of every contract and of what every site can do: `shares` holds it, with what
the gateway has lent to others and borrowed from them. `allocation` decides by demand who lends to whom. `admission`
decides which leg is inside reserved capacity and which has to wait. All of these are pure, with times in whole tenths
of a millisecond. `messages` are the types that gateways exchange.

`runner` owns the state of one gateway: it reports demand to the holder of the "allot" lease, which sends allocations
back; gateways then ask each other for loans, and every RPC asks the runner for admission. docs/contracts.md; nothing
here is loaded unless LB_CONTRACTS names a file.
"""
