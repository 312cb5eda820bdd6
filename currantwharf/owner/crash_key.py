"""The key under which server losses are counted for a request."""

from currantwharf.wire import ShardRequest


def build_crash_key(request: ShardRequest) -> str:
    """Return a key that is equal for equal requests to the same shard."""
    return f"{request.fingerprint}@{request.shard}"
