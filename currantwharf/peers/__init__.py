"""How the gateways of a fleet hear of each other and pass on what changed.

Nobody keeps a list of them: each tells a few others, by datagram, who it has heard of
and which revision it has (epidemic dissemination, Demers and others, 1987). What one
instance sends is independent of the number of instances.
"""
