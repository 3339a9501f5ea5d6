//! Decides when to rotate, compact and take a snapshot, without I/O or clock.

/// The store's own limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Segment size in bytes at which a new segment is begun.
    pub segment: u64,
    /// Compaction begins when the log exceeds this multiple of the live data
    pub space: f64,
    /// and is larger than this, in bytes.
    pub least: u64,
    /// A snapshot is taken after more than this many bytes, and more than half the live bytes, were written since the last.
    pub snapshot: u64,
    /// Unsynced bytes above which a sync runs in the background.
    pub unsynced: u64,
    /// Hash key of a new store's index; `None` draws it from the system. A fixed key makes a store reproducible.
    pub secret: Option<(u64, u64)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            segment: 4 << 20,
            space: 1.7,
            least: 8 << 20,
            snapshot: 16 << 20,
            unsynced: 256 << 10,
            secret: None,
        }
    }
}

/// Limits of a group commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    pub writes: usize,
    pub bytes: usize,
}

impl Default for Group {
    fn default() -> Self {
        Self { writes: 1024, bytes: 1 << 20 }
    }
}

impl Group {
    /// Whether a group is full. Further writes join the next group, which limits the delay of the first write of this one.
    pub fn is_full(&self, writes: usize, bytes: usize) -> bool {
        writes >= self.writes || bytes >= self.bytes
    }
}

/// Figures on which the decisions are based.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Bytes of all segments, and of the records in them that are live.
    pub written: u64,
    pub live: u64,
    pub segments: usize,
    /// Bytes in the oldest segment, and live ones there.
    pub oldest: u64,
    pub oldest_live: u64,
    pub since_snapshot: u64,
}

impl Plan {
    /// Whether to compact the oldest segment. It may hold no live data, which is cheap to detect, and its deletions are
    /// obsolete, because no older record is left that they would hide.
    pub fn compacts(&self, figures: &Figures) -> bool {
        let crowded =
            figures.written as f64 > figures.live as f64 * self.space && figures.written > self.least;
        figures.segments > 1 && (figures.oldest_live == 0 || crowded)
    }

    pub fn takes_snapshot(&self, figures: &Figures) -> bool {
        figures.since_snapshot > self.snapshot.max(figures.live / 2)
    }

    pub fn flushes(&self, unsynced: u64) -> bool {
        unsynced > self.unsynced
    }

    pub fn rotates(&self, segment: u64) -> bool {
        segment >= self.segment
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAN: Plan =
        Plan { segment: 100, space: 2.0, least: 50, snapshot: 1000, unsynced: 10, secret: None };

    #[test]
    fn the_oldest_goes_when_it_is_dead_or_room_is_short() {
        let figures = |written, live, segments, oldest_live| Figures {
            written,
            live,
            segments,
            oldest: 100,
            oldest_live,
            since_snapshot: 0,
        };
        for (figures, compacts) in [
            (figures(300, 200, 3, 50), false),
            (figures(300, 140, 3, 50), true),
            (figures(300, 299, 3, 0), true),
            (figures(49, 1, 2, 1), false),
            // The one that is written to is never taken.
            (figures(300, 0, 1, 0), false),
        ] {
            assert_eq!(PLAN.compacts(&figures), compacts, "{figures:?}");
        }
    }

    #[test]
    fn a_snapshot_is_not_taken_more_often_than_it_is_worth() {
        let figures = |live, since_snapshot| Figures { live, since_snapshot, ..Figures::default() };
        assert!(!PLAN.takes_snapshot(&figures(0, 1000)) && PLAN.takes_snapshot(&figures(0, 1001)));
        assert!(!PLAN.takes_snapshot(&figures(10_000, 5000)) && PLAN.takes_snapshot(&figures(10_000, 5001)));
    }
}
