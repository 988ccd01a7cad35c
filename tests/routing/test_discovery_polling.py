"""Pauses between two polls of the endpoint list, and defaults of timeouts."""

from crankfold.config.parser import read_service_config
from crankfold.network.discovery_watcher import CONNECT_TIMEOUT
from crankfold.routing.interface import POLL_TIMER
from crankfold.time_units import TICKS_PER_SECOND
from tests.fixtures import RouterTestCase


class DiscoveryCrossings(RouterTestCase):
    def test_where_endpoints_are_polled_no_pause_is_longer_than_a_change_may_take(self) -> None:
        self.open(
            backend_count=0,
            discovery_by_poll=True,
            poll_within=200_000,
            instance_count=400,
            change_notice_within=60_000,
        )
        for _ in range(9):
            self.router.discovery_failed(self.now)
        pauses = [at - self.now for at, label in self.timers if label == POLL_TIMER]
        self.assertEqual(len(pauses), 10)
        self.assertLess(
            max(pauses), 60_000 - CONNECT_TIMEOUT * 20_000
        )  # what is left: to connect and to be answered

    def test_defaults_of_timeouts_allow_a_lost_packet_and_a_backend_that_closes_early(self) -> None:
        rules = read_service_config({})
        self.assertGreater(
            rules.connect_timeout, TICKS_PER_SECOND
        )  # a first packet that is lost is sent again after it
        self.assertLess(rules.idle_timeout, 5 * TICKS_PER_SECOND)
