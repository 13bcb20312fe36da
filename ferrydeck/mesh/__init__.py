"""The `ferrydeck-meshd` daemon, which reads policy and members from a store."""
