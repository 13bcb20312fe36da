"""ferrydeck: an overload control layer for service call graphs."""
