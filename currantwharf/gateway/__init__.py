"""The gateway, which sends callers' requests to backend servers.

Decisions are in modules without I/O (`running_call`, `server_choice`,
`server_evidence`, `registry`); `call_runner`, `registry_task` and `gateway` join them
to sockets and timers. The protocols of callers, backend servers and the store are left
to an adapter.
"""
