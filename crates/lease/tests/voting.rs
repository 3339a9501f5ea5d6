//! Single messages to one member: what it sends in reply, and what it has to persist before.

use std::time::Duration;

use lotussaddle_lease::{
    Duty, Effect, Heartbeat, HeartbeatReply, Lease, LeaseMessage, PersistedState, Plan, Table, TableId, Term,
};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn plan(self_member: u16) -> Plan {
    Plan {
        self_member,
        member_count: 5,
        voters: vec![0, 1, 2],
        preferred_holders: vec![vec![0, 1, 2, 3, 4]; 2],
        lease_duration: ms(1000),
    }
}

/// A voter with consistent state and an agreed incarnation.
fn consistent_voter(self_member: u16) -> Lease {
    let table = Table { voters: vec![0, 1, 2], ..Table::default() };
    let mut lease =
        Lease::new(ms(0), plan(self_member), Some(PersistedState { term: Term(1 << 32), table }), 7);
    lease.set_incarnation(ms(0), 1);
    lease.take_effects();
    lease
}

fn sent_messages(effects: &[Effect]) -> Vec<(u16, LeaseMessage)> {
    let sent = |effect: &Effect| match effect {
        Effect::Send(to, message) => Some((*to, message.clone())),
        _ => None,
    };
    effects.iter().filter_map(sent).collect()
}

fn last_persist_order(effects: &[Effect]) -> u64 {
    effects
        .iter()
        .rev()
        .find_map(|effect| if let Effect::Persist(number, _) = effect { Some(*number) } else { None })
        .expect("state is persisted")
}

#[test]
fn vote_is_sent_only_after_it_is_persisted() {
    let request =
        |term: u64| LeaseMessage::VoteRequest { term: Term(term << 32 | 1 << 16), table: TableId::default() };
    for succeeded in [true, false] {
        let mut lease = consistent_voter(0);
        lease.message_received(ms(2000), 1, request(2));
        let effects = lease.take_effects();
        let number = last_persist_order(&effects);
        assert_eq!(sent_messages(&effects), [], "not before it is persisted");
        lease.state_persisted(ms(2001), number, succeeded);
        let votes = sent_messages(&lease.take_effects());
        assert_eq!(votes.len(), usize::from(succeeded), "{votes:?}");
        assert!(votes.iter().all(
            |(to, message)| *to == 1 && matches!(message, LeaseMessage::VoteReply { granted: true, .. })
        ));
    }
}

#[test]
fn voter_whose_disk_is_outdated_votes_for_nobody() {
    let mut lease = consistent_voter(0);
    lease.mark_state_stale(ms(2000));
    lease.message_received(
        ms(4000),
        1,
        LeaseMessage::VoteRequest { term: Term(9 << 32 | 1 << 16), table: TableId::default() },
    );
    let effects = lease.take_effects();
    let is_refusal = |(to, message): &(u16, LeaseMessage)| {
        *to == 1 && matches!(message, LeaseMessage::VoteReply { granted: false, .. })
    };
    assert!(
        sent_messages(&effects).iter().any(is_refusal)
            && !effects.iter().any(|effect| matches!(effect, Effect::Persist(..))),
        "{effects:?}"
    );
}

#[test]
fn voter_without_an_agreed_incarnation_supports_nobody_since_its_disk_may_be_outdated() {
    let table = Table { voters: vec![0, 1, 2], ..Table::default() };
    let mut lease = Lease::new(ms(0), plan(0), Some(PersistedState { term: Term(1 << 32), table }), 7);
    let request = LeaseMessage::VoteRequest { term: Term(9 << 32 | 1 << 16), table: TableId::default() };
    lease.message_received(ms(4000), 1, request.clone());
    lease.message_received(
        ms(4000),
        1,
        LeaseMessage::PreVoteRequest { above_term: Term(1 << 32), table: TableId::default() },
    );
    lease.message_received(ms(4000), 1, LeaseMessage::StateLost);
    let replies = sent_messages(&lease.take_effects());
    let is_support = |(_, message): &(u16, LeaseMessage)| {
        matches!(
            message,
            LeaseMessage::VoteReply { granted: true, .. }
                | LeaseMessage::PreVoteReply { granted: true, .. }
                | LeaseMessage::StateReply { is_consistent: true, .. }
        )
    };
    assert!(replies.len() == 3 && !replies.iter().any(is_support), "{replies:?}");
    lease.set_incarnation(ms(4001), 5);
    lease.message_received(ms(4001), 1, request);
    assert!(
        lease.take_effects().iter().any(|effect| matches!(effect, Effect::Persist(..))),
        "the voter votes"
    );
}

#[test]
fn messages_of_unknown_members_are_ignored() {
    let mut lease = consistent_voter(0);
    lease.message_received(
        ms(4000),
        99,
        LeaseMessage::VoteRequest { term: Term(9 << 32 | 99 << 16), table: TableId::default() },
    );
    lease.message_received(ms(4000), 99, LeaseMessage::StateLost);
    assert_eq!(lease.take_effects(), []);
}

/// A leader elected by its own vote and that of member 1.
fn elected_leader() -> (Lease, Term, Duration) {
    let mut lease = consistent_voter(0);
    let now = lease.next_due();
    lease.timer_fired(now);
    while !lease
        .take_effects()
        .iter()
        .any(|effect| matches!(effect, Effect::Send(_, LeaseMessage::PreVoteRequest { .. })))
    {
        lease.timer_fired(lease.next_due());
    }
    let now = ms(3000);
    lease.message_received(
        now,
        1,
        LeaseMessage::PreVoteReply { above_term: Term(1 << 32), granted: true, highest_term: Term(1 << 32) },
    );
    let effects = lease.take_effects();
    assert_eq!(sent_messages(&effects), [], "its own vote is persisted before it asks for others");
    lease.state_persisted(now, last_persist_order(&effects), true);
    let requests = sent_messages(&lease.take_effects());
    let term = requests.iter().find_map(|(_, message)| {
        if let LeaseMessage::VoteRequest { term, .. } = message { Some(*term) } else { None }
    });
    let term = term.expect("the candidate asks for votes");
    assert!(!lease.is_leader(), "its own vote is not a majority");
    lease.message_received(
        now,
        1,
        LeaseMessage::VoteReply { term, granted: true, highest_term: term, newer_table: None },
    );
    assert!(lease.is_leader());
    (lease, term, now)
}

fn reply(term: Term, serial: u64, table: TableId, number: u64) -> LeaseMessage {
    LeaseMessage::HeartbeatReply(HeartbeatReply {
        term,
        heartbeat_serial: serial,
        table,
        reply_number: number,
        incarnation: 1,
        accepts_duties: true,
        hand_overs: Vec::new(),
        checkpoints: Vec::new(),
        refused_tokens: Vec::new(),
    })
}

fn last_heartbeat_to(effects: &[Effect], to: u16) -> Option<Heartbeat> {
    let messages = sent_messages(effects).into_iter().filter(|(member, _)| *member == to);
    messages
        .filter_map(
            |(_, message)| {
                if let LeaseMessage::Heartbeat(heartbeat) = message { Some(heartbeat) } else { None }
            },
        )
        .next_back()
}

#[test]
fn no_lease_or_change_before_a_majority_persists_the_table_and_voters_change_one_by_one() {
    let (mut lease, term, now) = elected_leader();
    let effects = lease.take_effects();
    let first = TableId { term, version: 1 };
    let heartbeat = last_heartbeat_to(&effects, 1).expect("the leader sends a heartbeat");
    assert!(
        heartbeat.table == first
            && !heartbeat.is_committed
            && heartbeat.lease_from_reply == 0
            && heartbeat.full_table.is_some()
    );
    // The leader's own disk has the table; one of three is not a majority.
    lease.state_persisted(now, last_persist_order(&effects), true);
    lease.message_received(now, 3, LeaseMessage::ChangeVoters { voters: vec![0, 1, 2, 3, 4] });
    lease.message_received(now, 3, reply(term, 1, first, 1));
    assert_eq!(lease.table().id, first, "replies of members that do not vote do not count");
    lease.message_received(now, 1, reply(term, 1, TableId::default(), 1));
    assert_eq!(lease.table().id, first, "the voter responds but has not persisted the table");
    lease.message_received(now + ms(1), 1, reply(term, 1, first, 2));
    // Now the table is committed, and changes follow: duties, or one voter, but not both voters at once.
    let mut voter_counts = vec![3, lease.table().voters.len()];
    for step in 2..40u64 {
        let now = now + ms(step * 10);
        let before = lease.table().id;
        let effects = lease.take_effects();
        if effects.iter().any(|effect| matches!(effect, Effect::Persist(..))) {
            lease.state_persisted(now, last_persist_order(&effects), true);
            lease.timer_fired(now);
            assert_eq!(
                lease.table().id,
                before,
                "no change while only the leader's disk has the previous table"
            );
        } else {
            lease.timer_fired(now);
        }
        let table = lease.table().id;
        for member in [1, 2, 3] {
            lease.message_received(now, member, reply(term, step / 13 + 1, table, step + 1));
        }
        voter_counts.push(lease.table().voters.len());
    }
    assert_eq!(voter_counts.iter().max(), Some(&5), "{voter_counts:?}");
    assert!(voter_counts.windows(2).all(|pair| pair[1] <= pair[0] + 1), "{voter_counts:?}");
    assert!(lease.table().assignment(Duty(0)).is_some());
}
