//! Tests of the module `batches`, with access to its private items.

use std::time::Duration;

use lotussaddle::interface::{DialogueId, LaunchNumber, ServerId};
use lotussaddle_trunk::{Given, Owner, Part, copy_bytes};

use super::*;

#[test]
fn a_copy_takes_no_more_than_is_reckoned() {
    let owner = Owner { round: u32::MAX, member: u16::MAX, life: u64::MAX };
    let server = ServerId("s".repeat(128).into());
    let stands = Reached::Stands { server: server.clone(), launch: LaunchNumber(u32::MAX) };
    let most = Duration::from_secs(900_000);
    for reached in [Reached::Taken, Reached::Over, stands] {
        for answer in [
            Answer::Failed,
            Answer::Refused { come_back: Some(most) },
            Answer::Stands { server: server.clone() },
        ] {
            let part = Part { owner, version: u32::MAX, reached: reached.clone(), bar: most, lasts: most };
            let copy = CopySent {
                dialogue: DialogueId("d".repeat(128).into()),
                parts: vec![part; 16],
                answers: vec![Given { owner, answer }; 4],
            };
            assert!(copy_bytes(&copy).len() <= at_most(&copy));
        }
    }
}
