"""Messages between instances round-trip, and undecodable input is rejected."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from currantwharf.adapters.bounded_site import make_site
from currantwharf.adapters.peer_server import peer_resource
from currantwharf.owner import BackendAnswer
from currantwharf.tests.builders import (
    make_ack,
    make_answer,
    make_member_update,
    make_plan,
    make_shard_request,
)
from currantwharf.tests.fake_reactor import FakeReactor
from currantwharf.tests.fake_world import FakeWorld
from currantwharf.tests.memory_http import MemoryConnection, make_request
from currantwharf.wire import (
    Cancel,
    Claim,
    ClaimReply,
    ClaimResult,
    Heartbeat,
    ServerReleased,
    decode_envelope,
    encode_envelope,
    list_messages,
)

MESSAGES = [
    Heartbeat(make_ack(), (make_member_update("i2", "dead"),)),
    ServerReleased("s1", 2.0, "boot-1"),
    make_answer(make_shard_request()),
    Cancel("q1", 1, "s1"),
    ClaimResult("r1", "t1", True, '{"a":1}'),
    ClaimReply("r1", "t1", "i1", False, answer='{"a":1}'),
    Claim("r1", "t1", 1.5, "digest"),
]


class EnvelopeTests(unittest.TestCase):
    def test_every_message_type_round_trips(self) -> None:
        decoded = list_messages(decode_envelope(encode_envelope("i1", "b1", MESSAGES)))
        self.assertEqual(decoded, MESSAGES)

    def test_body_of_a_request_round_trips_unchanged(self) -> None:
        envelope = decode_envelope(encode_envelope("i1", "b1", [make_shard_request()]))
        self.assertEqual(bytes(envelope.requests[0].body), b"{}")

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.data())
    def test_truncated_and_changed_envelopes_are_refused_or_read(self, data) -> None:  # noqa: ANN001
        raw = encode_envelope("i1", "b1", [*MESSAGES, make_shard_request()])
        cut = data.draw(st.integers(0, len(raw) - 1))
        with self.assertRaises((msgspec.MsgspecError, UnicodeDecodeError)):
            decode_envelope(raw[:cut])
        changed = bytearray(raw)
        changed[cut] = data.draw(st.integers(0, 255))
        try:
            decode_envelope(bytes(changed))
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.binary(max_size=300))
    def test_any_bytes_from_a_server_are_refused_by_type(self, raw: bytes) -> None:
        with self.assertRaises((msgspec.MsgspecError, UnicodeDecodeError)):
            msgspec.json.decode(raw, type=BackendAnswer)


class PeerSiteTests(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=40, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_get_a_typed_refusal(self, body: bytes) -> None:
        site = make_site(peer_resource(WORLD.nodes["i0"]), 1000, FakeReactor())
        connection = MemoryConnection(site)
        connection.send(make_request("POST", "/peer/messages", body))
        self.assertEqual(connection.answer().status, 400)


WORLD = FakeWorld(make_plan())
