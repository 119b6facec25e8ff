"""Measures how each cost of the gateway grows with the size of the fleet, and computes the capacity page from it.

Each group of measures has a module with a function `measure` (cli.py lists them): the decision module by itself, a
process, frames between gateways, lists of servers, added latency, the control plane with and without faults, and
leases. slopes.py fits a line through the values of each measure and stores the group under experiments/scale/. The
capacity_*.py modules read those files, and nothing else, and write the tables of docs/CAPACITY.md.
"""
