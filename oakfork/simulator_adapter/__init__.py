"""Runs gateways inside the simulator: speaks its wire protocol and hosts instances of the decision module.

`codec` reads batches of events from bytes and encodes commands; it alone knows the names and codes of the wire. `host`
keeps one decision module and one index table for each instance, turns records into events of `oakfork.interface` and
commands back into records. `python -m oakfork.simulator_adapter` serves the protocol on standard input and output.
"""
