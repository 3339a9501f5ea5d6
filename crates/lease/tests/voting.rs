//! Single words to one member: what is said, and what has to be kept before.

use std::time::Duration;

use lotussaddle_lease::{
    Duty, Effect, Heartbeat, HeartbeatReply, Lease, LeaseMessage, PersistedState, Plan, Table, TableId, Term,
};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn plan(me: u16) -> Plan {
    Plan {
        self_member: me,
        member_count: 5,
        voters: vec![0, 1, 2],
        preferred_holders: vec![vec![0, 1, 2, 3, 4]; 2],
        lease_duration: ms(1000),
    }
}

/// A voter that knows all that it ever said, in a life that is agreed on.
fn voter(me: u16) -> Lease {
    let table = Table { voters: vec![0, 1, 2], ..Table::default() };
    let mut lease = Lease::new(ms(0), plan(me), Some(PersistedState { term: Term(1 << 32), table }), 7);
    lease.set_incarnation(ms(0), 1);
    lease.take_effects();
    lease
}

fn said(outs: &[Effect]) -> Vec<(u16, LeaseMessage)> {
    let said = |out: &Effect| match out {
        Effect::Send(to, word) => Some((*to, word.clone())),
        _ => None,
    };
    outs.iter().filter_map(said).collect()
}

fn order(outs: &[Effect]) -> u64 {
    outs.iter()
        .rev()
        .find_map(|out| if let Effect::Persist(number, _) = out { Some(*number) } else { None })
        .expect("kept")
}

#[test]
fn a_vote_is_kept_before_it_is_said_and_not_said_where_it_is_not() {
    let ask =
        |term: u64| LeaseMessage::VoteRequest { term: Term(term << 32 | 1 << 16), table: TableId::default() };
    for well in [true, false] {
        let mut lease = voter(0);
        lease.message_received(ms(2000), 1, ask(2));
        let outs = lease.take_effects();
        let number = order(&outs);
        assert_eq!(said(&outs), [], "not before it is kept");
        lease.state_persisted(ms(2001), number, well);
        let votes = said(&lease.take_effects());
        assert_eq!(votes.len(), usize::from(well), "{votes:?}");
        assert!(
            votes
                .iter()
                .all(|(to, word)| *to == 1 && matches!(word, LeaseMessage::VoteReply { granted: true, .. }))
        );
    }
}

#[test]
fn one_whose_disk_is_older_than_what_it_said_votes_for_nobody() {
    let mut lease = voter(0);
    lease.mark_state_stale(ms(2000));
    lease.message_received(
        ms(4000),
        1,
        LeaseMessage::VoteRequest { term: Term(9 << 32 | 1 << 16), table: TableId::default() },
    );
    let outs = lease.take_effects();
    let no = |(to, word): &(u16, LeaseMessage)| {
        *to == 1 && matches!(word, LeaseMessage::VoteReply { granted: false, .. })
    };
    assert!(
        said(&outs).iter().any(no) && !outs.iter().any(|out| matches!(out, Effect::Persist(..))),
        "{outs:?}"
    );
}

#[test]
fn one_whose_life_is_not_agreed_on_helps_nobody_since_its_disk_may_be_older() {
    let table = Table { voters: vec![0, 1, 2], ..Table::default() };
    let mut lease = Lease::new(ms(0), plan(0), Some(PersistedState { term: Term(1 << 32), table }), 7);
    let ask = LeaseMessage::VoteRequest { term: Term(9 << 32 | 1 << 16), table: TableId::default() };
    lease.message_received(ms(4000), 1, ask.clone());
    lease.message_received(
        ms(4000),
        1,
        LeaseMessage::PreVoteRequest { above_term: Term(1 << 32), table: TableId::default() },
    );
    lease.message_received(ms(4000), 1, LeaseMessage::StateLost);
    let told = said(&lease.take_effects());
    let helps = |(_, word): &(u16, LeaseMessage)| {
        matches!(
            word,
            LeaseMessage::VoteReply { granted: true, .. }
                | LeaseMessage::PreVoteReply { granted: true, .. }
                | LeaseMessage::StateReply { is_consistent: true, .. }
        )
    };
    assert!(told.len() == 3 && !told.iter().any(helps), "{told:?}");
    lease.set_incarnation(ms(4001), 5);
    lease.message_received(ms(4001), 1, ask);
    assert!(lease.take_effects().iter().any(|out| matches!(out, Effect::Persist(..))), "it votes");
}

#[test]
fn words_of_nobody_s_are_not_heard() {
    let mut lease = voter(0);
    lease.message_received(
        ms(4000),
        99,
        LeaseMessage::VoteRequest { term: Term(9 << 32 | 99 << 16), table: TableId::default() },
    );
    lease.message_received(ms(4000), 99, LeaseMessage::StateLost);
    assert_eq!(lease.take_effects(), []);
}

/// Elected by itself and member 1.
fn chair() -> (Lease, Term, Duration) {
    let mut lease = voter(0);
    let now = lease.next_due();
    lease.timer_fired(now);
    while !lease
        .take_effects()
        .iter()
        .any(|out| matches!(out, Effect::Send(_, LeaseMessage::PreVoteRequest { .. })))
    {
        lease.timer_fired(lease.next_due());
    }
    let now = ms(3000);
    lease.message_received(
        now,
        1,
        LeaseMessage::PreVoteReply { above_term: Term(1 << 32), granted: true, highest_term: Term(1 << 32) },
    );
    let outs = lease.take_effects();
    assert_eq!(said(&outs), [], "its own vote is kept before it asks for others'");
    lease.state_persisted(now, order(&outs), true);
    let asked = said(&lease.take_effects());
    let term = asked.iter().find_map(|(_, word)| {
        if let LeaseMessage::VoteRequest { term, .. } = word { Some(*term) } else { None }
    });
    let term = term.expect("it asks");
    assert!(!lease.is_leader(), "its own vote is no majority");
    lease.message_received(
        now,
        1,
        LeaseMessage::VoteReply { term, granted: true, highest_term: term, newer_table: None },
    );
    assert!(lease.is_leader());
    (lease, term, now)
}

fn back(term: Term, serial: u64, table: TableId, number: u64) -> LeaseMessage {
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

fn beat_to(outs: &[Effect], to: u16) -> Option<Heartbeat> {
    let beats = said(outs).into_iter().filter(|(member, _)| *member == to);
    beats
        .filter_map(|(_, word)| if let LeaseMessage::Heartbeat(beat) = word { Some(beat) } else { None })
        .next_back()
}

#[test]
fn nothing_is_lent_or_changed_before_a_majority_keeps_the_table_and_voters_change_one_by_one() {
    let (mut lease, term, now) = chair();
    let outs = lease.take_effects();
    let first = TableId { term, version: 1 };
    let beat = beat_to(&outs, 1).expect("it says that it is there");
    assert!(
        beat.table == first && !beat.is_committed && beat.lease_from_reply == 0 && beat.full_table.is_some()
    );
    // Its own disk has had it; one of three is no majority.
    lease.state_persisted(now, order(&outs), true);
    lease.message_received(now, 3, LeaseMessage::ChangeVoters { voters: vec![0, 1, 2, 3, 4] });
    lease.message_received(now, 3, back(term, 1, first, 1));
    assert_eq!(lease.table().id, first, "members that do not vote do not count");
    lease.message_received(now, 1, back(term, 1, TableId::default(), 1));
    assert_eq!(lease.table().id, first, "it is there, and has not kept it");
    lease.message_received(now + ms(1), 1, back(term, 1, first, 2));
    // Now it is agreed on, and the first change follows: duties, or a voter, not both voters at once.
    let mut seen = vec![3, lease.table().voters.len()];
    for step in 2..40u64 {
        let now = now + ms(step * 10);
        let before = lease.table().id;
        let outs = lease.take_effects();
        if outs.iter().any(|out| matches!(out, Effect::Persist(..))) {
            lease.state_persisted(now, order(&outs), true);
            lease.timer_fired(now);
            assert_eq!(lease.table().id, before, "not while only its own disk has the table before");
        } else {
            lease.timer_fired(now);
        }
        let table = lease.table().id;
        for member in [1, 2, 3] {
            lease.message_received(now, member, back(term, step / 13 + 1, table, step + 1));
        }
        seen.push(lease.table().voters.len());
    }
    assert_eq!(seen.iter().max(), Some(&5), "{seen:?}");
    assert!(seen.windows(2).all(|pair| pair[1] <= pair[0] + 1), "{seen:?}");
    assert!(lease.table().assignment(Duty(0)).is_some());
}
