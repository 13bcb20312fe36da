"""Network I/O of `ferrydeck-meshd`."""
