"""Errors of the consensus among voters."""

from crankfold.errors import CrankfoldError


class MembershipChangeError(CrankfoldError):
    """The set of voters cannot be changed like this, or not now; the text says why."""


class ProposalError(CrankfoldError):
    """A proposal cannot be made; the text says why."""
