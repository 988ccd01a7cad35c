"""Requests in progress: admission, attempts, callbacks and responses."""
