//! Tests of the module `batches`, with access to its private items.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{Owner, OwnerRecord, RecordedAnswer, encode_replica};

use super::*;

#[test]
fn a_copy_takes_no_more_than_is_reckoned() {
    let owner = Owner { round: u32::MAX, member: u16::MAX, incarnation: u64::MAX };
    let server = ServerId("s".repeat(128).into());
    let stands = Progress::Stands { server: server.clone(), launch: LaunchNumber(u32::MAX) };
    let most = Duration::from_secs(900_000);
    for reached in [Progress::Accepted, Progress::Ended, stands] {
        for answer in [
            Answer::Failed,
            Answer::Refused { come_back: Some(most) },
            Answer::Stands { server: server.clone() },
        ] {
            let part = OwnerRecord {
                owner,
                version: u32::MAX,
                progress: reached.clone(),
                blocked_for: most,
                expires_in: most,
            };
            let copy = ReplicaUpdate {
                dialogue: DialogueId("d".repeat(128).into()),
                owner_records: vec![part; 16],
                answers: vec![RecordedAnswer { owner, answer }; 4],
            };
            assert!(encode_replica(&copy).len() <= encoded_size_bound(&copy));
        }
    }
}
