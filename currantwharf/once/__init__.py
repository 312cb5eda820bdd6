"""How a non-idempotent request runs at most once over all instances."""

from currantwharf.once.claim_table import ClaimTable
from currantwharf.once.holders import HOLDERS, MAJORITY, HolderHistory
from currantwharf.once.running_order import RunningOrder

__all__ = ["HOLDERS", "MAJORITY", "ClaimTable", "HolderHistory", "RunningOrder"]
