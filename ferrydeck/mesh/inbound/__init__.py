"""The inbound side: admits requests to the local target."""
