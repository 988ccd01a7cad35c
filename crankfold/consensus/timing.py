"""Durations of elections and leases, all derived from one configured bound.

Times and durations are ticks of a tenth of a millisecond.
"""

from msgspec import Struct

PERCENT = 100
# A clock is at most 1% fast or slow, so two clocks differ by at most 2%; the third percent covers rounding.
CLOCK_DRIFT_PERCENT = 3
# The durations below are in percent of the staleness bound. The bound exceeds a lease with its drift margin,
# which leaves time between the check of a lease and the action.
LEASE_DURATION_PERCENT = 80
ELECTION_TIMEOUT_PERCENT = 16
RENEW_INTERVAL_PERCENT = 10
HEARTBEAT_INTERVAL_PERCENT = 4
CONTACT_TIMEOUT_RENEWALS = 3  # in renew intervals
# The interval of a follower's heartbeats is random, from 3/4 to 5/4 of the renew interval.
LEAST_HEARTBEAT_QUARTERS = 3
HEARTBEAT_JITTER_QUARTERS = 2
QUARTERS = 4


def with_drift_margin(duration: int) -> int:
    """Returns the most ticks that this clock counts while another clock counts `duration` ticks."""
    return duration * (PERCENT + CLOCK_DRIFT_PERCENT) // PERCENT


class Timing(Struct, frozen=True):
    """Durations in ticks, derived from the staleness bound.

    Attributes:
        staleness_bound: The longest time, in ticks, for which two dispatchers act on contradicting versions.
    """

    staleness_bound: int

    @property
    def lease_duration(self) -> int:
        """The duration of a lease, from the leader's last contact with a quorum."""
        return self.staleness_bound * LEASE_DURATION_PERCENT // PERCENT

    @property
    def heartbeat_interval(self) -> int:
        """The interval of a leader's rounds of AppendEntries."""
        return self.staleness_bound * HEARTBEAT_INTERVAL_PERCENT // PERCENT

    @property
    def election_timeout(self) -> int:
        """The time without a leader after which a voter campaigns; a random part may double it."""
        return self.staleness_bound * ELECTION_TIMEOUT_PERCENT // PERCENT

    @property
    def renew_interval(self) -> int:
        """The interval between lease requests; for a follower, the mean interval."""
        return self.staleness_bound * RENEW_INTERVAL_PERCENT // PERCENT

    @property
    def least_heartbeat_interval(self) -> int:
        """The shortest interval of a follower's heartbeats."""
        return self.renew_interval * LEAST_HEARTBEAT_QUARTERS // QUARTERS

    @property
    def heartbeat_jitter(self) -> int:
        """The upper bound of the random part of the interval of a follower's heartbeats."""
        return self.renew_interval * HEARTBEAT_JITTER_QUARTERS // QUARTERS

    @property
    def contact_timeout(self) -> int:
        """The time without a message after which another member is out of contact."""
        return CONTACT_TIMEOUT_RENEWALS * self.renew_interval

    @property
    def lease_expiry_wait(self) -> int:
        """The time on one clock after which a lease of full duration has expired on any other clock."""
        return with_drift_margin(self.lease_duration)

    def earlier_leases_until(self, granter_since: int) -> int:
        """Returns the latest expiry of leases that were granted before `granter_since`.

        Args:
            granter_since: When the current granter took over. For leases to followers, that is the start of
                the voter's process, as an earlier process may have granted some. For leases to voters, it
                is the start of the leader's term, as earlier leaders may have granted some.
        """
        return granter_since + self.lease_expiry_wait
