"""Drivers on asyncio: sockets for the state machines of `crankfold.protocol`, timers, log and metrics."""
