"""oakfork: a quota-keeping gateway for a shared API."""
