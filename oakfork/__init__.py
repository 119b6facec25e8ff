"""oakfork: a quota-keeping gateway for a shared API."""

__version__ = "0.2.0"
