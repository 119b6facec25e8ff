"""Reserved capacity: tenants with so many legs a second of their own in stated windows, however hard all others press.

`book` reads what operators sell, `parts` is a gateway's share of a contract and what it has lent and borrowed,
`dealer` deals shares by demand, `gate` says which leg is inside reserved capacity and which must wait: all pure,
times whole tenths of a millisecond. `runner` is the trio part. docs/contracts.md; nothing here is loaded unless
LB_CONTRACTS names a book.
"""
