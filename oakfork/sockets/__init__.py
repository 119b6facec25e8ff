"""The real gateway: the decision module on sockets."""
