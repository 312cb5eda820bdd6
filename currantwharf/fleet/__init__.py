"""How the instances act together: membership, owners, readers, life and pauses."""

from currantwharf.fleet.instance_list import EMPTY_LIST, InstanceList
from currantwharf.fleet.lifecycle import Life, LifecycleRecord, Phase, build_lifecycle
from currantwharf.fleet.listed_instance import ListedInstance
from currantwharf.fleet.member import Member, MemberState
from currantwharf.fleet.membership import Membership
from currantwharf.fleet.owners import OwnerResolver
from currantwharf.fleet.pause import PauseDetector
from currantwharf.fleet.readers import READERS_PER_DATA_CENTRE, is_reader
from currantwharf.policy.rendezvous import highest, top

__all__ = [
    "EMPTY_LIST",
    "READERS_PER_DATA_CENTRE",
    "InstanceList",
    "Life",
    "LifecycleRecord",
    "ListedInstance",
    "Member",
    "MemberState",
    "Membership",
    "OwnerResolver",
    "PauseDetector",
    "Phase",
    "highest",
    "is_reader",
    "build_lifecycle",
    "top",
]
