"""A dispatcher process: builds routing, protocol and network parts, starts them and shuts them down."""
