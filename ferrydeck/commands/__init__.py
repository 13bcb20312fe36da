"""The commands of the `ferrydeck` tool, one module each."""
