"""The protocols of the deployment: state machines and codecs without sockets or clocks."""
