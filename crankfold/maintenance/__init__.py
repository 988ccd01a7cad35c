"""Machines taken out for work in an order that keeps agreed bounds. No I/O, clock or chance of its own."""
