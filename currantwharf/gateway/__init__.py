"""The gateway: callers' requests sent to backend servers without a hop between.

Decisions are in modules without I/O (`running_call`, `server_choice`,
`server_evidence`, `registry`); `calls`, `registry_task` and `gateway` join them to
sockets and timers. How the outside is spoken to is left to an adapter.
"""
