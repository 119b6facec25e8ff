"""Laboratory: simulated experiments with balancing policies, and drills and load on real gateway processes.

The package owns three things. The simulation (`world` and what it is built from) runs the decision module or a
baseline policy in simulated time against modelled customers, servers, discovery and peers, while `invariant_checker`
watches the rules. `experiment`, `sweep`, `compare` and `plots` turn experiment files into runs, results, comparisons
and plots. The drills (`lease_drill`, `contract_drill`) start real processes through `gateway_processes`, inject faults
from `fault_schedule` and check what clients or a fenced resource observed. `lease_model` and `contract_model` simulate
the same at larger sizes.

Data goes one way: an experiment file becomes `WorldConfig` objects, each of which becomes one `World`, whose result is
a dictionary of plain numbers. Nothing in the serving path of the gateway imports this package.
"""
