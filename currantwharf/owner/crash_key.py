"""The key by which an owner counts the losses of a request."""

from currantwharf.wire import ShardRequest


def crash_key(request: ShardRequest) -> str:
    """Return what identifies a request at one shard."""
    return f"{request.fingerprint}@{request.shard}"
