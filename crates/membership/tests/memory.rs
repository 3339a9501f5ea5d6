//! Heap of one member, counted by the allocator. One test, so that no other thread's allocations are counted.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use lotussaddle_membership::{MemberIndex, MemberRegister, Membership, Message, Overlay, Register, Timing};

const MEMBERS: usize = 4_100;
const MAX_MEMBER_BYTES: usize = 200_000;
const MAX_OVERLAY_BYTES: usize = 200_000;
const OWN_INDEX: MemberIndex = 17;

static IN_USE: AtomicUsize = AtomicUsize::new(0);
static MAX_IN_USE: AtomicUsize = AtomicUsize::new(0);

struct Counting;

// SAFETY: all calls go to the system's allocator unchanged; only sizes are counted.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let in_use = IN_USE.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        MAX_IN_USE.fetch_max(in_use, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn in_use() -> usize {
    IN_USE.load(Ordering::Relaxed)
}

/// A neighbour sends registers of all members, whole buckets of digests that differ, and asks for buckets.
fn fill(member: &mut Membership, now: Duration, incarnation: u64) {
    let from = member.overlay().neighbours(OWN_INDEX)[0];
    for start in (0..MEMBERS).step_by(50) {
        let members = (start..(start + 50).min(MEMBERS)).map(|index| index as MemberIndex);
        let register = Register { incarnation, sequence: 1, unheard: 0, caught_up: true };
        let entries = members.map(|member| MemberRegister { member, register }).collect();
        member.received(now, from, &Message::Registers(entries)).expect("it is valid");
    }
    for neighbour in member.overlay().neighbours(OWN_INDEX).to_vec() {
        let digests = Message::BucketDigests(vec![7; MEMBERS.div_ceil(64)]);
        member.received(now, neighbour, &digests).expect("it is valid");
        member.received(now, neighbour, &Message::BucketRequest(vec![1, 2])).expect("it is valid");
        member.received(now, neighbour, &Message::Heartbeat { digest: 0 }).expect("it is valid");
    }
}

#[test]
fn a_member_of_a_fleet_of_4100_stays_within_its_memory_bound() {
    let before = in_use();
    let overlay = Arc::new(Overlay::new(MEMBERS, 1).expect("an overlay"));
    let of_overlay = in_use() - before;
    let before = in_use();
    MAX_IN_USE.store(before, Ordering::Relaxed);
    let mut member =
        Membership::new(Duration::ZERO, OWN_INDEX, overlay, Timing { silence: Duration::from_secs(1) });
    member.set_self(Duration::ZERO, 1 << 24, true);
    for round in 0..100u64 {
        let now = Duration::from_millis(round * 200);
        fill(&mut member, now, (round + 2) << 24);
        drop(member.tick(now));
    }
    let at_rest = in_use() - before;
    let most = MAX_IN_USE.load(Ordering::Relaxed) - before;
    println!("{at_rest} bytes of a member, {most} at most, and {of_overlay} of the overlay");
    assert!(member.register(4_000).is_some());
    assert!(at_rest > 50_000, "the allocator did not count");
    assert!(most < MAX_MEMBER_BYTES, "a member had {most} bytes");
    assert!(of_overlay < MAX_OVERLAY_BYTES, "the overlay has {of_overlay} bytes");
}
