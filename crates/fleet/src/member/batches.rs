//! Splits copies into frames of a bounded length.

use lotussaddle_trunk::{Answer, OwnerRecord, Progress, RecordedAnswer, ReplicaUpdate};

/// Bytes of copies in one frame, at most.
pub(super) const FRAME: usize = 40 * 1024;

/// More bytes than a copy takes, found without encoding it: that is done once, when it is sent.
pub(super) fn at_most(copy: &ReplicaUpdate) -> usize {
    let part = |part: &OwnerRecord| match &part.progress {
        Progress::Launched { server, .. } | Progress::Stands { server, .. } => 96 + server.0.len(),
        Progress::Accepted | Progress::Ended => 96,
    };
    let given = |given: &RecordedAnswer| match &given.answer {
        Answer::Stands { server } => 64 + server.0.len(),
        Answer::Refused { .. } | Answer::Failed => 64,
    };
    let parts = copy.owner_records.iter().map(part).sum::<usize>();
    32 + copy.dialogue.0.len() + parts + copy.answers.iter().map(given).sum::<usize>()
}

/// Copies in frames that are not too long; one empty one where there are none.
pub(super) fn in_frames(copies: Vec<ReplicaUpdate>) -> Vec<Vec<ReplicaUpdate>> {
    let mut frames = vec![Vec::new()];
    let mut bytes = 0;
    for copy in copies {
        let size = at_most(&copy);
        if bytes + size > FRAME {
            frames.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        frames.last_mut().expect("there is one").push(copy);
    }
    frames
}

#[cfg(test)]
#[path = "../../tests/unit/batches.rs"]
mod tests;
