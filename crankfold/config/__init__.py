"""The configuration: its form, its reading for the routing and the service, and names as indices."""
