//! Splits replicas into frames of a bounded length.

use lotussaddle_trunk::{Answer, OwnerRecord, Progress, RecordedAnswer, ReplicaUpdate};

/// Upper bound on the bytes of replicas in one frame.
pub(super) const MAX_FRAME_BYTES: usize = 40 * 1024;

/// Upper bound on the encoded bytes of a replica, computed without encoding it.
pub(super) fn encoded_size_bound(replica: &ReplicaUpdate) -> usize {
    let record_size = |record: &OwnerRecord| match &record.progress {
        Progress::Launched { server, .. } | Progress::Stands { server, .. } => 96 + server.0.len(),
        Progress::Accepted | Progress::Ended => 96,
    };
    let answer_size = |recorded: &RecordedAnswer| match &recorded.answer {
        Answer::Stands { server } => 64 + server.0.len(),
        Answer::Refused { .. } | Answer::Failed => 64,
    };
    let record_sizes = replica.owner_records.iter().map(record_size).sum::<usize>();
    32 + replica.dialogue.0.len() + record_sizes + replica.answers.iter().map(answer_size).sum::<usize>()
}

/// Splits replicas into frames of bounded length; without replicas it returns one empty frame.
pub(super) fn split_into_frames(replicas: Vec<ReplicaUpdate>) -> Vec<Vec<ReplicaUpdate>> {
    let mut frames = vec![Vec::new()];
    let mut bytes = 0;
    for replica in replicas {
        let size = encoded_size_bound(&replica);
        if bytes + size > MAX_FRAME_BYTES {
            frames.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        frames.last_mut().expect("there is one").push(replica);
    }
    frames
}

#[cfg(test)]
#[path = "../../tests/unit/batches.rs"]
mod tests;
