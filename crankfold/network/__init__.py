"""Drivers on asyncio streams: they carry bytes between sockets and the state machines, and keep time."""
