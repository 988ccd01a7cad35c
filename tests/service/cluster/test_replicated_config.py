"""The replicated configuration at one dispatcher: which actions it permits, and what it records of them."""

import logging
import unittest
from typing import Literal
from unittest.mock import Mock, patch

from crankfold.cluster.config import ClusterConfig
from crankfold.network.metrics import Metrics
from crankfold.service.cluster.replicated_config import CONTINUE_WHEN_ISOLATED, ReplicatedConfig
from crankfold.service.requests.handler import RequestHandler

LOGGER = "crankfold.service.cluster.replicated_config"


class AuthorizeActionTest(unittest.TestCase):
    def replicated_config(self, isolation_policy: Literal["shed", "go-on"]) -> ReplicatedConfig:
        self.metrics = Metrics()
        self.node = Mock(inactive_reason=lambda: "no lease")
        with patch.object(ReplicatedConfig, "_build_cluster_node", return_value=self.node):
            return ReplicatedConfig(
                ClusterConfig("n0", {}, isolation_policy=isolation_policy),
                local_settings={},
                admin_service=Mock(metrics=self.metrics),
                config_applier=Mock(),
                endpoint_list_age=Mock(),
                event_log=None,
            )

    def authorize(self, config: ReplicatedConfig, *, has_lease: bool) -> tuple[bool, list[str], int]:
        """Whether an action is permitted, the lines that it logs, and the count of actions while isolated."""
        self.node.has_lease = lambda: has_lease
        with self.assertLogs(LOGGER, logging.INFO) as logged:
            logging.getLogger(LOGGER).info("so that there is a line")
            permitted = config.authorize_action()
        lines = [record.getMessage() for record in logged.records[1:]]
        return permitted, lines, self.metrics.counters["acted-while-isolated"]

    def test_no_action_is_permitted_before_there_are_settings(self) -> None:
        config = self.replicated_config(CONTINUE_WHEN_ISOLATED)
        for has_lease in (True, False):
            self.assertEqual(self.authorize(config, has_lease=has_lease), (False, [], 0))

    def test_an_isolated_member_sheds_and_logs_each_loss_of_the_lease_once(self) -> None:
        config = self.replicated_config("shed")
        config.effective_settings = {}
        lost = ["no lease; sheds new requests"]
        self.assertEqual(self.authorize(config, has_lease=True), (True, [], 0))
        self.assertEqual(self.authorize(config, has_lease=False), (False, lost, 0))
        self.assertEqual(self.authorize(config, has_lease=False), (False, [], 0))
        self.assertEqual(self.authorize(config, has_lease=True), (True, [], 0))
        self.assertEqual(self.authorize(config, has_lease=False), (False, lost, 0))

    def test_an_isolated_member_that_continues_counts_each_action(self) -> None:
        config = self.replicated_config(CONTINUE_WHEN_ISOLATED)
        config.effective_settings = {}
        lost = ["no lease; continues with the last configuration"]
        self.assertEqual(self.authorize(config, has_lease=False), (True, lost, 1))
        self.assertEqual(self.authorize(config, has_lease=False), (True, [], 2))
        self.assertEqual(self.authorize(config, has_lease=True), (True, [], 2))

    # Guards against health checks that count as actions without a lease, and log its loss.
    def test_a_health_check_records_no_action(self) -> None:
        config = self.replicated_config(CONTINUE_WHEN_ISOLATED)
        config.effective_settings = {}
        self.node.has_lease = lambda: False
        handler = Mock(cluster=config)
        with self.assertNoLogs(LOGGER):
            self.assertTrue(RequestHandler.is_serving(handler))
        self.assertEqual(self.metrics.counters["acted-while-isolated"], 0)
        lost = ["no lease; continues with the last configuration"]
        self.assertEqual(self.authorize(config, has_lease=False), (True, lost, 1))
