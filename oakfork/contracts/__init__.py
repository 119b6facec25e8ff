"""Reserved capacity: tenants with so many legs a second of their own in stated windows, however hard all others press.

`contracts_file` reads what operators sell, `shares` is a gateway's share of a contract and what it has lent and
borrowed, `allocation` deals shares by demand, `admission` says which leg is inside reserved capacity and which must
wait: all pure, times whole tenths of a millisecond. `runner` is the trio part. docs/contracts.md; nothing here is
loaded unless LB_CONTRACTS names a book.
"""
