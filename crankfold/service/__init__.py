"""The whole dispatcher: decisions, protocol and network put together, from start to drain."""
