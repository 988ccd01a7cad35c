"""Authorization of actions under the replicated configuration, and what is logged and counted."""

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
    def build_config(self, isolation_policy: Literal["shed", "go-on"]) -> ReplicatedConfig:
        self.metrics = Metrics()
        self.cluster_node = Mock(inactive_reason=lambda: "no lease")
        with patch.object(ReplicatedConfig, "_build_cluster_node", return_value=self.cluster_node):
            return ReplicatedConfig(
                ClusterConfig("n0", {}, isolation_policy=isolation_policy),
                local_settings={},
                admin_service=Mock(metrics=self.metrics),
                config_applier=Mock(),
                endpoint_list_age=Mock(),
                event_log=None,
            )

    def authorize(self, config: ReplicatedConfig, *, has_lease: bool) -> tuple[bool, list[str], int]:
        """Authorizes an action.

        Returns:
            Whether the action is permitted, the messages logged, and the count of actions while isolated.
        """
        self.cluster_node.has_lease = lambda: has_lease
        with self.assertLogs(LOGGER, logging.INFO) as logged:
            logging.getLogger(LOGGER).info("assertLogs fails without a record")
            permitted = config.authorize_action()
        messages = [record.getMessage() for record in logged.records[1:]]
        return permitted, messages, self.metrics.counters["acted-while-isolated"]

    def test_action_is_not_permitted_without_settings(self) -> None:
        config = self.build_config(CONTINUE_WHEN_ISOLATED)
        for has_lease in (True, False):
            self.assertEqual(self.authorize(config, has_lease=has_lease), (False, [], 0))

    def test_isolated_member_sheds_and_logs_each_lease_loss_once(self) -> None:
        config = self.build_config("shed")
        config.effective_settings = {}
        lease_lost = ["no lease; sheds new requests"]
        self.assertEqual(self.authorize(config, has_lease=True), (True, [], 0))
        self.assertEqual(self.authorize(config, has_lease=False), (False, lease_lost, 0))
        self.assertEqual(self.authorize(config, has_lease=False), (False, [], 0))
        self.assertEqual(self.authorize(config, has_lease=True), (True, [], 0))
        self.assertEqual(self.authorize(config, has_lease=False), (False, lease_lost, 0))

    def test_isolated_member_that_continues_counts_each_action(self) -> None:
        config = self.build_config(CONTINUE_WHEN_ISOLATED)
        config.effective_settings = {}
        lease_lost = ["no lease; continues with the last configuration"]
        self.assertEqual(self.authorize(config, has_lease=False), (True, lease_lost, 1))
        self.assertEqual(self.authorize(config, has_lease=False), (True, [], 2))
        self.assertEqual(self.authorize(config, has_lease=True), (True, [], 2))

    # Guards against a health check that counts as an action without a lease, and logs the loss of the lease.
    def test_health_check_records_no_action(self) -> None:
        config = self.build_config(CONTINUE_WHEN_ISOLATED)
        config.effective_settings = {}
        self.cluster_node.has_lease = lambda: False
        handler = Mock(cluster=config)
        with self.assertNoLogs(LOGGER):
            self.assertTrue(RequestHandler.is_serving(handler))
        self.assertEqual(self.metrics.counters["acted-while-isolated"], 0)
        lease_lost = ["no lease; continues with the last configuration"]
        self.assertEqual(self.authorize(config, has_lease=False), (True, lease_lost, 1))
