"""Errors in the `peers` part of the configuration."""

from crankfold.cluster.config import ClusterConfigError, read_cluster_config
from tests.fixtures import TraceTestCase

VOTERS = ("n0", "n1", "n2")


class ClusterConfigTest(TraceTestCase):
    def test_config_error_names_its_field(self) -> None:
        voters = {name: "127.0.0.1:1" for name in VOTERS}
        for peers in (
            {},
            {"name": "n0", "voters": voters},
            {"name": "f", "voters": {"a": "b"}},
            {"name": "f", "voters": {**voters, "n2": "nowhere"}},
            {"name": "f", "voters": voters, "stated-time": 0.2},
            {"name": "f", "voters": voters, "when-cut-off": "pray"},
            {"name": "f", "voters": voters, "adress": "x"},
        ):
            with self.assertRaises(ClusterConfigError) as raised:
                read_cluster_config(peers)
            self.record(str(raised.exception))
        self.assert_matches_trace("cluster-config")
