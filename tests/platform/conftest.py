from __future__ import annotations

import pytest

from tests.platform import mesh_fleet


@pytest.fixture
def mesh(tmp_path):
    """Return a fleet that is stopped after the test; no handler may have raised."""
    mesh_under_test = mesh_fleet.MeshFleet(tmp_path)
    yield mesh_under_test
    mesh_under_test.close()
    assert mesh_under_test.logged_exceptions() == []
