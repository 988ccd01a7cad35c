"""Errors of the consensus package."""

from crankfold.errors import CrankfoldError


class MembershipChangeError(CrankfoldError):
    """A change of the voters is not permitted; the message says why."""


class ProposalError(CrankfoldError):
    """A proposal is invalid; the message says why."""
