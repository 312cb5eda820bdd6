"""Invalid input to the callers' interface gets a typed error and is not run."""

import unittest
from typing import Any

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from currantwharf.adapters.bounded_site import BODY_TIMEOUT_S, make_site
from currantwharf.adapters.caller_body import (
    MAX_CALLER_BODY_BYTES,
    parse_caller_request,
)
from currantwharf.adapters.caller_error import CallerErrorType
from currantwharf.adapters.caller_server import caller_resource
from currantwharf.tests.builders import make_body, make_config, make_order, make_plan
from currantwharf.tests.fake_reactor import FakeReactor
from currantwharf.tests.fake_world import FakeWorld
from currantwharf.tests.memory_http import MemoryConnection, make_request

CONFIG = make_config()
scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def parse(body: Any, config: Any = CONFIG) -> Any:
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return parse_caller_request(raw, config, 5.0, 1000.0)


class ParseCallerRequestTests(unittest.TestCase):
    def assert_error(self, change: dict, expected: CallerErrorType) -> None:
        error = parse({**make_body(), **change}).unwrap_err()
        self.assertIs(error.type, expected)

    def test_valid_request(self) -> None:
        request = parse(make_body()).unwrap()
        self.assertEqual((request.deadline, request.key), (6.0, "request-1"))

    def test_equal_bodies_have_equal_fingerprints(self) -> None:
        request = parse(make_body()).unwrap()
        same_body = parse({**make_body(), "id": "another"}).unwrap()
        other_body = parse({**make_body(), "body": {"text": "else"}}).unwrap()
        self.assertEqual(request.fingerprint, same_body.fingerprint)
        self.assertNotEqual(request.fingerprint, other_body.fingerprint)

    def test_each_invalid_field_has_its_error_type(self) -> None:
        for change, expected in (
            ({"class": "stone"}, CallerErrorType.UNKNOWN_CLASS),
            ({"class": 5}, CallerErrorType.BAD_FIELD),
            ({"id": ""}, CallerErrorType.BAD_ID),
            ({"id": "x" * 201}, CallerErrorType.BAD_ID),
            ({"id": "a\nb"}, CallerErrorType.BAD_ID),
            ({"caller": "a\x00b"}, CallerErrorType.BAD_ID),
            ({"deadline_ms": None}, CallerErrorType.DEADLINE_MISSING),
            ({"deadline_ms": 0}, CallerErrorType.DEADLINE_PAST),
            ({"deadline_ms": -5}, CallerErrorType.DEADLINE_PAST),
            ({"deadline_ms": 1e12}, CallerErrorType.DEADLINE_HUGE),
            ({"deadline_ms": "soon"}, CallerErrorType.BAD_FIELD),
            ({"class": "block-order"}, CallerErrorType.ISSUED_AT_MISSING),
        ):
            with self.subTest(change=change):
                self.assert_error(change, expected)
        error = parse(make_order(1, issued_at=2000.0)).unwrap_err()
        self.assertIs(error.type, CallerErrorType.ISSUED_AT_FUTURE)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.binary(max_size=200) | values.map(msgspec.json.encode))
    def test_any_bytes_give_a_typed_error(self, raw: bytes) -> None:
        self.assertTrue(parse(raw).is_err())

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.dictionaries(st.sampled_from([*make_order(1, 0.0), "key"]), values))
    def test_any_fields_give_a_request_or_a_typed_error(self, change: dict) -> None:
        parsed = parse({**make_body(), **change})
        if parsed.is_err():
            self.assertIn(parsed.unwrap_err().type, list(CallerErrorType))

    def test_deep_nesting_is_refused(self) -> None:
        parsed = parse(b'{"class":' + b"[" * 50_000 + b"]" * 50_000 + b"}")
        self.assertTrue(parsed.is_err())


class CallerSiteTests(unittest.TestCase):
    def setUp(self) -> None:
        self.world = FakeWorld(make_plan())
        self.world.advance(7)
        self.reactor = FakeReactor()
        resource = caller_resource(self.world.nodes["i0"])
        self.site = make_site(resource, MAX_CALLER_BODY_BYTES, self.reactor)

    def exchange(self, raw: bytes) -> Any:
        connection = MemoryConnection(self.site)
        connection.send(raw)
        self.world.advance(0.1)
        return connection.answer()

    def assert_refused(self, raw: bytes, status: int, error_type: str) -> None:
        response = self.exchange(raw)
        self.assertEqual(response.status, status)
        self.assertEqual(response.body["outcome"], "not_run")
        self.assertEqual(response.body["error"]["type"], error_type)
        self.assertEqual(self.world.backend_calls, [])

    def test_large_body_is_refused_before_it_is_read(self) -> None:
        head = make_request("POST", "/v1/requests", b"x" * (MAX_CALLER_BODY_BYTES + 1))
        self.assert_refused(head[:200], 413, "body_too_large")

    def test_body_without_length_is_refused(self) -> None:
        raw = make_request("GET", "/v1/requests", b"", "transfer-encoding: chunked")
        self.assert_refused(raw.replace(b"GET", b"POST"), 411, "length_required")

    def test_slow_body_is_refused_after_its_timeout(self) -> None:
        connection = MemoryConnection(self.site)
        request = make_request("POST", "/v1/requests", b"{" * 100)
        connection.send(request[:-50])
        self.reactor.advance(BODY_TIMEOUT_S / 2)
        self.assertEqual(connection.answer().status, 0)
        self.reactor.advance(BODY_TIMEOUT_S)
        response = connection.answer()
        self.assertEqual((response.status, response.closed), (408, True))
        connection.send(request[-50:])
        self.assertEqual(connection.answer().status, 408)

    def test_connection_with_excessive_headers_is_closed(self) -> None:
        connection = MemoryConnection(self.site)
        connection.send(b"POST /v1/requests HTTP/1.1\r\n")
        for number in range(2000):
            if connection.answer().closed:
                break
            connection.send(f"x-{number}: {'y' * 50}\r\n".encode())
        self.assertTrue(connection.answer().closed)

    def test_not_json(self) -> None:
        raw = make_request("POST", "/v1/requests", b"\xff\xfe{")
        self.assert_refused(raw, 400, "not_json")

    def test_unknown_paths_and_methods_get_a_typed_error(self) -> None:
        for method, path in (("GET", "/nothing"), ("PUT", "/v1/requests")):
            response = self.exchange(make_request(method, path))
            self.assertIn(response.status, (404, 405))
            self.assertEqual(response.body["error"]["type"], "no_such_resource")

    def test_joining_instance_reports_a_refused_resend_as_unknown(self) -> None:
        self.world.kill("i0")
        site = make_site(
            caller_resource(self.world.start("i0")), MAX_CALLER_BODY_BYTES, self.reactor
        )
        for resend, outcome in ((False, "not_run"), (True, "unknown")):
            connection = MemoryConnection(site)
            body = msgspec.json.encode({**make_body(), "resend": resend})
            connection.send(make_request("POST", "/v1/requests", body))
            response = connection.answer()
            self.assertEqual(
                (response.status, response.body["outcome"]), (503, outcome)
            )

    def test_stopping_instance_answers_and_closes_the_connection(self) -> None:
        connection = MemoryConnection(self.site)
        body = msgspec.json.encode(make_body())
        connection.send(make_request("POST", "/v1/requests", body))
        self.world.advance(0.5)
        self.assertFalse(connection.answer().closed)
        self.world.nodes["i0"].fleet.stop()
        connection_to_stopping = MemoryConnection(self.site)
        connection_to_stopping.send(make_request("POST", "/v1/requests", body))
        self.world.advance(0.5)
        self.assertEqual(connection_to_stopping.answer().status, 200)
        self.assertTrue(connection_to_stopping.answer().closed)

    def test_refused_resend_has_an_unknown_outcome(self) -> None:
        body = msgspec.json.encode({"resend": True, "id": "o1"})
        response = self.exchange(make_request("POST", "/v1/requests", body))
        self.assertEqual(response.body["outcome"], "unknown")

    @settings(
        derandomize=True,
        database=None,
        max_examples=60,
        deadline=None,
        suppress_health_check=[HealthCheck.differing_executors],
    )
    @given(st.binary(max_size=300), st.sampled_from(["POST", "GET", "DELETE"]))
    def test_any_body_gets_an_answer(self, body: bytes, method: str) -> None:
        raw = make_request(method, "/v1/requests", body)
        response = self.exchange(raw)
        self.assertIn(response.status, (400, 404, 405))
        self.assertIsNotNone(response.body)
