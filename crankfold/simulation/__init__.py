"""Simulation in virtual time: the program's routing and consensus with simulated peers and faults."""
