"""The network code of the gateway: it runs the decision module on real sockets.

`client_connections` accepts connections; `client_connection` reads the RPCs of one, in the turns that a
`read_scheduler` gives and `pass_monitor` renews in each pass of the event loop, and queues them for the
`decision_loop`, the one task that owns the decision module. The loop turns each queued message into an event of the
module and hands the module's commands to the tasks that carry them out:
`server_connections` (call-outs and probes), `counter_client`, `discovery` and `peers`. Their results come back through
the same queue, and the answer of an RPC is written by the loop directly to the client's connection.

`http_connection` is the HTTP/1.1 connection that all of them use, `outcomes` names every way in which its use can end,
`configuration` reads what an operator gives a gateway, and `gateway` starts and stops all parts.
"""
