"""A world in simulated time in which many real dispatchers stand behind their ports."""
