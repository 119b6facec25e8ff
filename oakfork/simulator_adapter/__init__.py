"""The bench adapter: speaks the simulator's wire and hosts instances of the decision module."""
