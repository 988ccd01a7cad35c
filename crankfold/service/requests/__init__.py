"""Requests in hand: admission, attempts, callbacks, answers."""
