"""Gossip between the gateways of a fleet: membership and propagation of changes.

No process keeps a list of the gateways. Each instance sends datagrams to a few others,
which contain some of the instances that it knows and the store revision that it has
reached (epidemic dissemination, Demers and others, 1987). The traffic that one instance
sends does not depend on the number of instances.
"""
