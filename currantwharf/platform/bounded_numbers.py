"""Numbers in the platform's documents, with the bounds within which they are used.

JSON has numbers of any size. One beyond the bounds makes its document unreadable, which
names its field; otherwise it would fail later, in arithmetic or in a message between
instances, and take along what has nothing to do with it.
"""

from typing import Annotated

from msgspec import Meta

# Messages between instances have integers of 64 bits.
Revision = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Version = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Count = Annotated[int, Meta(ge=0, le=2**31 - 1)]
Milliseconds = Annotated[float, Meta(ge=0)]
Rate = Annotated[float, Meta(ge=0)]
Weight = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
