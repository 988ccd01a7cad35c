"""Clauses of the users' pages, each played at its extreme; docs/terms-audit.md names the test of each row."""
