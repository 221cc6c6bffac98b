"""The oracle of owners finds each kind of violation, and only those."""

import unittest
from unittest import mock

from ownership import MAX_SHARED_S, Lease, Ownership
from ranges import Ranges
from servers import Work


class FakeClock:
    now = 100.0

    def monotonic(self):
        return self.now


class FakeHost:
    thawed = 0.0


class FakeServer:
    def __init__(self, oracle, name):
        self.oracle = oracle
        self.id = name
        self.born = 1
        self.up = True
        self.leases = Ranges()
        self.promised = Ranges()
        self.at_work = []
        oracle.servers.append(self)

    def take(self, first, last, fence, hold_s=10, sender=None):
        lease = Lease(fence, self.oracle.clock.now, hold_s, False)
        self.oracle.ownership.check_grant(self, first, last, lease, sender)
        self.leases.assign(first, last, lease)
        self.promised.assign(first, last, lease)

    def begin(self, key):
        self.at_work.append(Work(f"t{key}", key))
        self.oracle.ownership.note_begin(self, key, f"t{key}")


class FakeOracle:
    def __init__(self, clock):
        self.clock = clock
        self.servers = []
        self.hosts = [FakeHost()]
        self.violations = []
        self.ownership = Ownership(self)

    def violate(self, text, at=None):
        self.violations.append(text)

    def settled(self):
        self.ownership.settle()
        return self.violations


class OwnershipTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        patch = mock.patch("ownership.time", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.oracle = FakeOracle(self.clock)
        self.one = FakeServer(self.oracle, "one")
        self.other = FakeServer(self.oracle, "other")

    def found(self, text):
        return sum(text in entry for entry in self.oracle.violations)

    def test_keys_that_move_after_a_release_break_nothing(self):
        self.one.take(0, 9, 5)
        self.one.begin(3)
        self.one.take(0, 9, 5)
        self.one.leases.cut(4, 9)
        self.other.take(4, 9, 6)
        self.other.begin(4)
        self.one.begin(2)
        self.assertEqual(self.oracle.settled(), [])

    def test_a_lease_that_has_run_out_breaks_nothing(self):
        self.one.take(0, 9, 5, 0.01)
        self.one.begin(3)
        self.clock.now += 0.02
        self.other.take(0, 9, 6)
        self.assertEqual(self.oracle.settled(), [])

    def test_a_grant_while_another_holds_the_keys(self):
        self.one.take(0, 9, 5)
        self.other.take(9, 20, 6)
        self.oracle.settled()
        self.assertEqual(self.found("keys 9-9 granted to other"), 1)

    def test_two_that_begin_requests_on_shared_keys(self):
        self.one.take(0, 9, 5)
        self.other.take(5, 9, 6)
        self.one.begin(2)
        self.other.begin(6)
        self.oracle.ownership.settle()
        self.assertEqual(self.found("both hold"), 0)
        self.one.begin(7)
        self.oracle.settled()
        self.assertEqual(self.found("begin requests: other t6 (key 6), one t7"),
                         1)

    def test_two_that_hold_keys_for_long(self):
        self.one.take(0, 9, 5, MAX_SHARED_S + 0.2)
        self.other.take(5, 9, 6)
        self.clock.now += MAX_SHARED_S - 0.1
        self.oracle.ownership.check_shared()
        self.oracle.ownership.settle()
        self.assertEqual(self.found("for over 0.5 s"), 0)
        self.clock.now += 0.2
        self.oracle.ownership.check_shared()
        self.oracle.settled()
        self.assertEqual(self.found("for over 0.5 s"), 1)

    def test_a_grant_while_another_works_after_a_release(self):
        self.one.take(0, 9, 5)
        self.one.begin(3)
        self.one.leases.cut(0, 9)
        self.other.take(0, 9, 6)
        self.oracle.settled()
        self.assertEqual(self.found(
            "OWNER: key 3 granted to other with fence 6 while one is at work"),
            1)

    def test_a_fence_that_is_not_above_that_of_another(self):
        self.one.take(0, 9, 5)
        self.one.leases.cut(0, 9)
        self.other.take(3, 3, 5)
        self.oracle.settled()
        self.assertEqual(self.found("OWNER: keys 3-3 taken by other"), 1)

    def test_a_fence_of_a_former_life(self):
        self.one.take(0, 9, 5)
        self.one.leases.cut(0, 9)
        self.one.born = 2
        self.one.take(0, 9, 5)
        self.oracle.settled()
        self.assertEqual(self.found("OWNER: keys 0-9 taken by one (life 2)"), 1)

    def test_grants_of_a_host_that_has_just_gone_on_are_excused(self):
        self.one.take(0, 9, 5)
        self.oracle.hosts[0].thawed = self.clock.now
        self.other.take(0, 9, 4, sender=self.oracle.hosts[0])
        self.assertEqual(self.oracle.settled(), [])

    def test_only_lags_around_the_earlier_grant_excuse(self):
        self.one.take(0, 9, 5)
        now = self.clock.now
        self.oracle.ownership.lags = [(now - 3, now - 2)]
        self.other.take(0, 9, 6)
        self.oracle.settled()
        self.assertEqual(self.found("granted to other"), 1)


if __name__ == "__main__":
    unittest.main()
