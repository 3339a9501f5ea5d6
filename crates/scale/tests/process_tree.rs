//! The processes that a run starts. No other test stands here: they would start and end processes beside it.

use std::process::{Command, Stdio};

use lotussaddle_scale::process_tree::ProcessTree;

#[test]
fn the_processes_that_a_run_starts_count() {
    let before = ProcessTree::here().unwrap();
    assert!(before.resident_bytes > 1 << 20, "{before:?}");
    let mut child = Command::new("cat").stdin(Stdio::piped()).stdout(Stdio::null()).spawn().unwrap();
    let with_child = ProcessTree::here().unwrap();
    drop(child.stdin.take());
    child.wait().unwrap();
    let after = ProcessTree::here().unwrap();
    assert!(with_child.processes > before.processes, "{before:?}, then {with_child:?}");
    assert!(after.processes < with_child.processes, "{with_child:?}, then {after:?}");
}
