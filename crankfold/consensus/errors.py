"""Errors of the consensus."""

from crankfold.errors import CrankfoldError


class MembershipChangeError(CrankfoldError):
    """A change of the voters is not permitted; the text says why."""


class ProposalError(CrankfoldError):
    """A proposal is invalid; the text says why."""
