"""At-most-once execution of non-idempotent requests over all instances."""

from currantwharf.once.claim_table import ClaimTable
from currantwharf.once.holders import HOLDER_COUNT, MAJORITY, HolderHistory
from currantwharf.once.running_order import RunningOrder

__all__ = ["HOLDER_COUNT", "MAJORITY", "ClaimTable", "HolderHistory", "RunningOrder"]
