import gc

import pytest

from hornbeamreach.garbage import MIDDLE_COLLECTIONS, collect_garbage_rarely


class Node:
    def __init__(self):
        self.itself = self


@pytest.fixture
def restored_collector():
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)


def test_cycles_are_still_collected(restored_collector):
    # Guards against a process whose memory grows with every cycle that it drops.
    collect_garbage_rarely()
    before = sum(isinstance(item, Node) for item in gc.get_objects())
    for _ in range(50_000):
        Node()
    after = sum(isinstance(item, Node) for item in gc.get_objects())
    assert gc.isenabled()
    assert after - before < 50_000


def test_imported_objects_are_exempt_and_full_collections_rare(restored_collector):
    # Guards against collections of the oldest generation that stop the event loop for 100 ms.
    collect_garbage_rarely()
    assert gc.get_freeze_count() > 1_000
    assert gc.get_threshold()[2] == MIDDLE_COLLECTIONS
