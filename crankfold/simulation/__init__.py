"""Simulations in virtual time: run the product's routing and consensus with simulated peers and faults."""
