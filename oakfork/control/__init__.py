"""Distributes configuration changes to every gateway (docs/control.md).

Operators submit change sets to the publisher (publisher.py), which validates them, stores them durably in its database
(database.py) and then puts them in force. Relays (relay.py) follow the publisher or another relay and serve the same
state further down; a gateway runs a follower (agent.py, follower.py). The package owns the shared state of services,
servers, routes and tenants, the protocol between these processes (messages.py, framing.py) and the `oakfork control`
commands (cli.py). Publisher, relay and follower are state machines without I/O (events.py); engine.py drives them.

`run` imports nothing from here: a gateway imports the follower only if its fleet file has a `control` table.
"""
