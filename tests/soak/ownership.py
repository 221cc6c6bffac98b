"""The oracle of who owns which key, from what servers see."""

import asyncio
import time

from ranges import Ranges

# From the platform's pages.
MAX_SHARED_S = 0.5
THAW_S = 0.3
# Lags of this process that add up to so long in the time around it may explain
# that a grant was taken late: two reads lie between its sender and its server,
# and a leader allows for 60 ms beyond its order's timeout.
MAX_LAG_S = 0.05
AROUND_S = 0.15
# Shorter ones are not noted.
MIN_LAG_S = 0.005
WATCH_S = 0.02


class Lease:
    """A grant that a server has taken; a renewal makes another one."""

    def __init__(self, fence, taken, hold_s, held_up):
        self.fence = fence
        self.taken = taken
        self.end = taken + hold_s
        # Arrived later than its sender can know, or from a sender that had
        # just gone on.
        self.excused = held_up


class SharedKeys:
    """Keys that two servers hold at one time."""

    def __init__(self, first, last, servers, earlier):
        self.first = first
        self.last = last
        self.servers = servers
        self.earlier = earlier
        self.began = time.monotonic()
        # By server: the first request that it began meanwhile, with its key.
        self.begun = {}
        self.told = set()

    def shared(self, now):
        """A key that both still hold; None without one."""
        one, other = self.servers
        for low, high, lease in one.leases.within(self.first, self.last):
            if lease.end <= now:
                continue
            for first, _, second in other.leases.within(low, high):
                if second.end > now:
                    return first
        return None


class Ownership:
    """Violations that an earlier lag of this process may explain are told by
    settle(), when all lags are known."""

    def __init__(self, oracle):
        self.oracle = oracle
        self.shared = []
        # By keys: the highest fence with which they were taken, and the server
        # in the life that took them.
        self.fences = Ranges()
        self.suspects = []
        # Begin and end of each lag of this process.
        self.lags = []
        self.grants = 0
        self.excused = 0
        self.releases = 0
        self.busy_releases = 0

    def note_release(self, busy):
        self.releases += 1
        self.busy_releases += busy

    def thawed(self, sender, now):
        hosts = [sender] if sender else self.oracle.hosts
        return any(now < host.thawed + THAW_S for host in hosts)

    def check_grant(self, server, first, last, lease, sender):
        """Before the server takes the grant."""
        now = time.monotonic()
        self.grants += 1
        if self.thawed(sender, now):
            self.excused += 1
            lease.excused = True
            return
        self.check_fence(server, first, last, lease)
        for other in self.oracle.servers:
            if other is server or not other.up:
                continue
            self.check_holder(server, first, last, lease, other)
            self.check_work(server, first, last, lease, other)

    def check_fence(self, server, first, last, lease):
        life = (server.id, server.born)
        for low, high, (fence, holder) in self.fences.within(first, last):
            if holder != life and lease.fence <= fence:
                self.oracle.violate(
                    f"OWNER: keys {low}-{high} taken by {server.id} (life "
                    f"{server.born}) with fence {lease.fence}, after "
                    f"{holder[0]} (life {holder[1]}) with {fence}")
                return
        self.fences.assign(first, last, (lease.fence, life))

    def check_holder(self, server, first, last, lease, other):
        now = time.monotonic()
        for low, high, earlier in other.leases.within(first, last):
            # Clocks of servers may run 2 % slow, not faster.
            if earlier.end <= now:
                continue
            self.suspect(earlier, (
                f"keys {low}-{high} granted to {server.id} with fence "
                f"{lease.fence} while {other.id} holds them with fence "
                f"{earlier.fence} for {earlier.end - now:.3f} s"))
            self.shared.append(SharedKeys(low, high, (server, other), earlier))

    def check_work(self, server, first, last, lease, other):
        now = time.monotonic()
        for work in other.at_work:
            if work.key is None or not first <= work.key <= last:
                continue
            earlier = other.promised.at(work.key)
            if earlier is not None and earlier.end > now:
                self.suspect(earlier, (
                    f"OWNER: key {work.key} granted to {server.id} with fence "
                    f"{lease.fence} while {other.id} is at work on it "
                    f"({work.attempt}) with fence {earlier.fence}, "
                    f"{earlier.end - now:.3f} s before its hold would "
                    "have run out"))

    def note_begin(self, server, key, attempt):
        """The server begins to work on a request."""
        now = time.monotonic()
        for shared in self.shared:
            if server not in shared.servers or not (
                    shared.first <= key <= shared.last) or (
                    shared.shared(now) is None):
                continue
            shared.begun.setdefault(server, (attempt, key))
            if len(shared.begun) == 2:
                self.tell(shared, "both", "begin requests: " + ", ".join(
                    f"{entry.id} {begun[0]} (key {begun[1]})"
                    for entry, begun in shared.begun.items()))

    def tell(self, shared, kind, text):
        if kind in shared.told:
            return
        shared.told.add(kind)
        one, other = shared.servers
        self.suspect(shared.earlier,
                     f"OWNER: {one.id} and {other.id} both hold "
                     f"{shared.first}-{shared.last} and {text}")

    def check_shared(self):
        now = time.monotonic()
        self.shared = [entry for entry in self.shared
                       if entry.shared(now) is not None]
        for entry in self.shared:
            if now > entry.began + MAX_SHARED_S:
                self.tell(entry, "long", f"for over {MAX_SHARED_S} s")

    async def watch(self):
        while True:
            self.check_shared()
            due = time.monotonic() + WATCH_S
            await asyncio.sleep(WATCH_S)
            if (now := time.monotonic()) > due + MIN_LAG_S:
                self.lags.append((due, now))

    def suspect(self, earlier, text):
        self.suspects.append((time.monotonic(), earlier, text))

    def taken_late(self, lease):
        first, last = lease.taken - AROUND_S, lease.taken + AROUND_S / 3
        return lease.excused or MAX_LAG_S < sum(
            min(end, last) - max(begin, first) for begin, end in self.lags
            if begin < last and end > first)

    def settle(self):
        """Tells what remains; returns a summary."""
        late = 0
        for at, earlier, text in self.suspects:
            if self.taken_late(earlier):
                late += 1
            else:
                self.oracle.violate(text, at)
        lag_s = sum(end - begin for begin, end in self.lags)
        return (f"{self.grants} grants taken, {self.excused} from hosts that "
                f"had just gone on; {self.busy_releases} of {self.releases} "
                f"releases waited for work; {late} of {len(self.suspects)} "
                "findings on owners not counted, since the earlier grant was "
                f"taken late; lags of {lag_s:.1f} s")
