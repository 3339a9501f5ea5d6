//! What is known of numbers, for a while, within a hard bound. Each entry is charged to the tenant that asked for it,
//! and the tenant with most entries gives up its oldest: a flood pushes out itself.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lotussaddle_numbers::Digits;

use crate::Moved;

const NONE: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Fresh(Moved),
    /// It may be used, but it is time to ask again.
    Stale(Moved),
    Nothing,
}

struct Entry {
    number: Digits,
    moved: Moved,
    fresh_until: Duration,
    stale_until: Duration,
    tenant: u32,
    /// In the order of use of its tenant's entries.
    older: u32,
    newer: u32,
}

#[derive(Clone, Copy)]
struct Share {
    oldest: u32,
    newest: u32,
    count: usize,
}

pub struct Cache {
    most: usize,
    slots: Vec<Entry>,
    free: Vec<u32>,
    by_number: HashMap<Digits, u32>,
    shares: HashMap<u32, Share>,
    /// Tenants by how many entries they have.
    by_count: BTreeSet<(usize, u32)>,
}

impl Cache {
    pub fn new(most: usize) -> Self {
        Self {
            most: most.min(NONE as usize - 1),
            slots: Vec::new(),
            free: Vec::new(),
            by_number: HashMap::new(),
            shares: HashMap::new(),
            by_count: BTreeSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Entries that are charged to a tenant.
    pub fn held_by(&self, tenant: u32) -> usize {
        self.shares.get(&tenant).map_or(0, |share| share.count)
    }

    /// Bytes, by its own count of what it has set aside.
    pub fn bytes(&self) -> usize {
        let table = self.by_number.capacity() * (size_of::<(Digits, u32)>() + 1);
        let shares = self.shares.capacity() * (size_of::<(u32, Share)>() + 1) + self.by_count.len() * 24;
        self.slots.capacity() * size_of::<Entry>() + self.free.capacity() * 4 + table + shares
    }

    pub fn get(&mut self, now: Duration, tenant: u32, number: Digits) -> Found {
        let Some(&slot) = self.by_number.get(&number) else { return Found::Nothing };
        let entry = &self.slots[slot as usize];
        if now >= entry.stale_until {
            self.remove(slot);
            return Found::Nothing;
        }
        let found =
            if now < entry.fresh_until { Found::Fresh(entry.moved) } else { Found::Stale(entry.moved) };
        // Whoever uses it bears it, if it bears less: a flood cannot take another's entries with it.
        let (bearer, mut to) = (entry.tenant, entry.tenant);
        if bearer != tenant && self.held_by(tenant) < self.held_by(bearer) {
            to = tenant;
        }
        self.unlink(slot);
        self.link(slot, to);
        found
    }

    pub fn put(
        &mut self, now: Duration, tenant: u32, number: Digits, moved: Moved, fresh: Duration, stale: Duration,
    ) {
        if self.most == 0 {
            return;
        }
        let (fresh_until, stale_until) = (now + fresh, now + fresh + stale);
        if let Some(&slot) = self.by_number.get(&number) {
            let entry = &mut self.slots[slot as usize];
            (entry.moved, entry.fresh_until, entry.stale_until) = (moved, fresh_until, stale_until);
            let tenant = entry.tenant;
            self.unlink(slot);
            return self.link(slot, tenant);
        }
        if self.by_number.len() >= self.most {
            let &(_, most) = self.by_count.last().expect("entries have bearers");
            let oldest = self.shares[&most].oldest;
            self.remove(oldest);
        }
        let entry = Entry { number, moved, fresh_until, stale_until, tenant, older: NONE, newer: NONE };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot as usize] = entry;
                slot
            }
            None => {
                self.slots.push(entry);
                (self.slots.len() - 1) as u32
            }
        };
        self.by_number.insert(number, slot);
        self.link(slot, tenant);
    }

    fn remove(&mut self, slot: u32) {
        self.unlink(slot);
        self.by_number.remove(&self.slots[slot as usize].number);
        self.free.push(slot);
    }

    fn count(&mut self, tenant: u32, share: Option<Share>, before: usize) {
        self.by_count.remove(&(before, tenant));
        match share.filter(|share| share.count > 0) {
            Some(share) => {
                self.by_count.insert((share.count, tenant));
                self.shares.insert(tenant, share);
            }
            None => drop(self.shares.remove(&tenant)),
        }
    }

    fn link(&mut self, slot: u32, tenant: u32) {
        let share = self.shares.get(&tenant).copied();
        let mut share = share.unwrap_or(Share { oldest: NONE, newest: NONE, count: 0 });
        let entry = &mut self.slots[slot as usize];
        (entry.tenant, entry.older, entry.newer) = (tenant, share.newest, NONE);
        match share.newest {
            NONE => share.oldest = slot,
            newest => self.slots[newest as usize].newer = slot,
        }
        share.newest = slot;
        share.count += 1;
        self.count(tenant, Some(share), share.count - 1);
    }

    fn unlink(&mut self, slot: u32) {
        let Entry { tenant, older, newer, .. } = self.slots[slot as usize];
        let mut share = self.shares[&tenant];
        match older {
            NONE => share.oldest = newer,
            older => self.slots[older as usize].newer = newer,
        }
        match newer {
            NONE => share.newest = older,
            newer => self.slots[newer as usize].older = older,
        }
        share.count -= 1;
        self.count(tenant, Some(share), share.count + 1);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const S: Duration = Duration::from_secs(1);

    fn number(n: u64) -> Digits {
        Digits::parse(&format!("+49{n:010}")).unwrap()
    }

    #[test]
    fn goes_from_fresh_to_stale_to_nothing() {
        let mut cache = Cache::new(10);
        cache.put(S, 0, number(1), Moved::Not, S * 10, S * 5);
        assert_eq!(cache.get(S * 10, 0, number(1)), Found::Fresh(Moved::Not));
        assert_eq!(cache.get(S * 11, 0, number(1)), Found::Stale(Moved::Not));
        assert_eq!(cache.get(S * 16, 0, number(1)), Found::Nothing);
        assert_eq!(cache.len(), 0);
    }

    #[test]
    fn a_flood_of_one_tenant_pushes_out_itself() {
        let mut cache = Cache::new(1000);
        for n in 0..200 {
            cache.put(S, 1, number(n), Moved::Not, S * 1000, S);
        }
        for n in 0..100_000u64 {
            cache.put(S, 2, number(1_000_000 + n), Moved::Not, S * 1000, S);
            // The flood asks for the other's numbers too, to no avail.
            cache.get(S, 2, number(n % 200));
            assert!(cache.len() <= 1000);
        }
        for n in 0..200 {
            assert_eq!(cache.get(S, 1, number(n)), Found::Fresh(Moved::Not), "{n}");
        }
        assert_eq!((cache.held_by(1), cache.held_by(2)), (200, 800));
        // A number that a flood brought and another uses is the other's from then on.
        cache.get(S, 3, number(1_099_999));
        for n in 0..10_000u64 {
            cache.put(S, 2, number(5_000_000 + n), Moved::Not, S * 1000, S);
        }
        assert_eq!(cache.get(S, 3, number(1_099_999)), Found::Fresh(Moved::Not));
    }

    #[test]
    fn floods_of_many_tenants_share_evenly() {
        let mut cache = Cache::new(999);
        for n in 0..30_000u64 {
            cache.put(S, (n % 3) as u32, number(n), Moved::Not, S, S);
        }
        assert_eq!([0, 1, 2].map(|tenant| cache.held_by(tenant)), [333; 3]);
    }

    proptest! {
        #[test]
        fn holds_together_through_anything(
            steps in prop::collection::vec((0..3u8, 0..4u32, 0..40u64, 1..20u32), 1..400),
        ) {
            let mut cache = Cache::new(16);
            let mut now = Duration::ZERO;
            for (kind, tenant, n, wait) in steps {
                match kind {
                    0 => cache.put(now, tenant, number(n), Moved::Not, S * wait, S * 3),
                    1 => drop(cache.get(now, tenant, number(n))),
                    _ => now += S * wait / 4,
                }
                prop_assert!(cache.len() <= 16 && cache.slots.len() <= 16);
                let all: usize = cache.shares.values().map(|share| share.count).sum();
                prop_assert_eq!(all, cache.len());
                prop_assert_eq!(cache.by_count.len(), cache.shares.len());
                for (tenant, share) in &cache.shares {
                    let (mut at, mut count) = (share.oldest, 0);
                    while at != NONE {
                        prop_assert_eq!(cache.slots[at as usize].tenant, *tenant);
                        (at, count) = (cache.slots[at as usize].newer, count + 1);
                    }
                    prop_assert_eq!(count, share.count);
                }
            }
        }
    }
}
