"""What the gateways of a fleet share beside the decision module: the operators' fleet file, and datagrams between them.

Nothing here is imported unless LB_FLEET names a file: docs/fleet.md.
"""
