"""Runs routers behind the simulator's protocol: codec and host loop, without any routing logic."""
