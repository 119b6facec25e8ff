"""What the gateways of a fleet share beside the decision module: the fleet file, and datagrams between gateways.

`config` reads and checks the operators' fleet file. `transport` owns the datagram socket: it decodes frames (`codec`),
refuses those that don't come from this fleet, and calls the handler that is registered for each kind of message.
`services` starts what runs over it: leases, contracts, and the agent that follows the control part.

Nothing here is imported unless LB_FLEET names a file: docs/fleet.md.
"""
