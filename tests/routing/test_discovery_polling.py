"""Discovery polling: delays between polls of the endpoint list, and default timeouts."""

from crankfold.config.parser import read_service_config
from crankfold.network.discovery_watcher import CONNECT_TIMEOUT
from crankfold.routing.interface import POLL_TIMER
from crankfold.time_units import TICKS_PER_SECOND
from tests.fixtures import RouterTestCase


class DiscoveryTimeoutTest(RouterTestCase):
    def test_poll_delay_leaves_time_to_notice_endpoint_change(self) -> None:
        self.open(
            backend_count=0,
            discovery_by_poll=True,
            poll_within=200_000,
            instance_count=400,
            change_notice_within=60_000,
        )
        for _ in range(9):
            self.router.discovery_failed(self.now)
        delays = [fires_at - self.now for fires_at, token in self.timers if token == POLL_TIMER]
        self.assertEqual(len(delays), 10)
        # The poll delay must leave time within change_notice_within for connection setup and the response.
        self.assertLess(max(delays), 60_000 - CONNECT_TIMEOUT * 20_000)

    def test_default_timeouts_allow_for_lost_first_packet_and_early_close_by_backend(self) -> None:
        config = read_service_config({})
        # TCP retransmits a dropped SYN after one second.
        self.assertGreater(config.connect_timeout, TICKS_PER_SECOND)
        self.assertLess(config.idle_timeout, 5 * TICKS_PER_SECOND)
