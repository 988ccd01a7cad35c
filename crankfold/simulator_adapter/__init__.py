"""The decisions on the simulator's wire: codec and host loop, no decision of its own."""
