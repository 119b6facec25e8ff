"""The laboratory: a model of all that a gateway balances, experiments with it, and load on real gateways."""
