//! Decides when to rotate, compact and take a snapshot, without I/O or clock.

/// The store's own limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Segment size in bytes at which a new segment is begun.
    pub max_segment_bytes: u64,
    /// Compaction begins when the log exceeds this multiple of the live data
    pub max_log_to_live_ratio: f64,
    /// and is larger than this, in bytes.
    pub min_compaction_bytes: u64,
    /// A snapshot is taken after more than this many bytes, and more than half the live bytes, were written since the last.
    pub min_snapshot_bytes: u64,
    /// Unsynced bytes above which a sync runs in the background.
    pub max_unsynced_bytes: u64,
    /// Hash key of a new store's index; `None` draws it from the system. A fixed key makes a store reproducible.
    pub secret: Option<(u64, u64)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            max_segment_bytes: 4 << 20,
            max_log_to_live_ratio: 1.7,
            min_compaction_bytes: 8 << 20,
            min_snapshot_bytes: 16 << 20,
            max_unsynced_bytes: 256 << 10,
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
        let exceeds_space_limit = figures.written as f64 > figures.live as f64 * self.max_log_to_live_ratio
            && figures.written > self.min_compaction_bytes;
        figures.segments > 1 && (figures.oldest_live == 0 || exceeds_space_limit)
    }

    /// Whether to write a snapshot.
    pub fn takes_snapshot(&self, figures: &Figures) -> bool {
        figures.since_snapshot > self.min_snapshot_bytes.max(figures.live / 2)
    }

    /// Whether to sync in the background, given the unsynced bytes.
    pub fn flushes(&self, unsynced: u64) -> bool {
        unsynced > self.max_unsynced_bytes
    }

    /// Whether to begin a new segment, given the size of the active one.
    pub fn rotates(&self, segment: u64) -> bool {
        segment >= self.max_segment_bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAN: Plan = Plan {
        max_segment_bytes: 100,
        max_log_to_live_ratio: 2.0,
        min_compaction_bytes: 50,
        min_snapshot_bytes: 1000,
        max_unsynced_bytes: 10,
        secret: None,
    };

    #[test]
    fn the_oldest_segment_is_compacted_when_dead_or_when_space_is_short() {
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
            // The active segment is never compacted.
            (figures(300, 0, 1, 0), false),
        ] {
            assert_eq!(PLAN.compacts(&figures), compacts, "{figures:?}");
        }
    }

    #[test]
    fn a_snapshot_is_taken_only_after_enough_writes() {
        let figures = |live, since_snapshot| Figures { live, since_snapshot, ..Figures::default() };
        assert!(!PLAN.takes_snapshot(&figures(0, 1000)) && PLAN.takes_snapshot(&figures(0, 1001)));
        assert!(!PLAN.takes_snapshot(&figures(10_000, 5000)) && PLAN.takes_snapshot(&figures(10_000, 5001)));
    }
}
