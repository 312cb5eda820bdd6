import random
import unittest

from twisted.internet.testing import MemoryReactorClock

from currantwharf.gateway.changes import StoreSnapshot
from currantwharf.gateway.gateway import SETTLE_S, Gateway, Life
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.tests.test_registry_task import FakeStore
from currantwharf.peers.hello import Hello
from currantwharf.platform.backend_protocol import PlatformBackendWire
from currantwharf.tests.gateway_builders import config_change


class GatewayTests(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.reactor.now = self.reactor.seconds
        self.reactor.time_since_boot = self.reactor.seconds
        self.reactor.advance(100.0)
        self.store = FakeStore()
        place = InstanceInfo("me", "h", "a", "r", {"a": "r"}, 1, 2, ())
        self.gateway = Gateway(
            self.reactor,
            self.reactor,
            place,
            GatewayLimits(0.2, 200.0),
            self.store,
            PlatformBackendWire(),
            random.Random(1),
        )
        self.gateway.peers.start = lambda: None
        self.gateway.peers.transport = None
        self.gateway.start()

    def hear(self, *names):
        for name in names:
            hello = Hello(name, "b", "h", "a", True, True, 1)
            self.gateway.peer_table.record_hello(hello, self.reactor.seconds())

    def share(self):
        self.gateway._on_sweep()
        return self.gateway._shares[0]

    def test_budgets_after_a_start_of_all_at_once_are_those_of_a_large_fleet(self):
        guess = GatewayLimits().assumed_fleet_size
        self.assertEqual(self.share(), 1 / guess)
        self.hear("x")
        self.assertEqual(self.share(), 1 / guess)
        self.reactor.advance(SETTLE_S + 0.1)
        self.hear("x", "y", "z")
        self.assertEqual(self.share(), 1 / 4)

    def test_instance_that_hears_nobody_takes_little(self):
        self.hear("x")
        self.reactor.advance(SETTLE_S + 5)
        self.assertEqual(self.share(), 1 / GatewayLimits().assumed_fleet_size)

    def test_serving_begins_with_a_configuration(self):
        self.assertFalse(self.gateway.is_ready)
        self.store.answer("stale", StoreSnapshot((config_change(3, 5),), 10))
        self.assertTrue(self.gateway.is_ready)

    def test_stop_waits_for_the_balancer_and_ends_in_time(self):
        closed, stopped = [], []
        self.gateway.stop(lambda: closed.append(1), lambda: stopped.append(1))
        self.assertIs(self.gateway.life, Life.STOPPING)
        self.assertFalse(self.gateway.is_ready)
        for _ in range(8):
            self.reactor.advance(0.25)
        self.assertEqual((closed, stopped), ([], []))
        for _ in range(6):
            self.reactor.advance(0.25)
        self.assertEqual((closed, stopped), ([1], [1]))

    def test_pause_is_followed_by_learning_anew(self):
        self.assertFalse(self.gateway._is_relearning())
        self.reactor.time_since_boot = lambda: self.reactor.seconds() + 5.0
        self.gateway._on_sweep()
        self.assertTrue(self.gateway._is_relearning())
        self.reactor.advance(0.1)
        self.gateway.peers.heard_at = self.reactor.seconds()
        self.assertFalse(self.gateway._is_relearning())
