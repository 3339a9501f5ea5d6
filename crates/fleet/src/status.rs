//! Status of a member for operators, as JSON: over a peer link, or from a store.

use std::time::Duration;

use lotussaddle::interface::DialogueId;
use lotussaddle_replica::{Replica, ReplicaReading};
use lotussaddle_trunk::{Frame, Owner, PeerMessage, Progress};
use serde_json::{Value, json};

use crate::duties::{Duty, NAMES};
use crate::incarnations::start_count;
use crate::member::{Effects, Member};
use crate::peers::PeerLink;

/// Max bytes of text in one frame.
const CHUNK_BYTES: usize = 32 * 1024;
/// Max dialogues in one listing.
const MAX_LISTED: usize = 1000;

fn owner_json(owner: Owner, names: &[String]) -> Value {
    let name = names.get(usize::from(owner.member)).cloned().unwrap_or_else(|| owner.member.to_string());
    json!({ "member": name, "start": start_count(owner.incarnation), "life": owner.incarnation, "round": owner.round })
}

/// One replica as JSON.
pub fn replica_json(now: Duration, id: &DialogueId, copy: &Replica, names: &[String]) -> Value {
    let parts: Vec<Value> = copy
        .owner_states()
        .iter()
        .map(|part| {
            let (step, server, launch) = match &part.progress {
                Progress::Accepted => ("taken", None, None),
                Progress::Launched { server, launch } => ("out", Some(server), Some(launch)),
                Progress::Stands { server, launch } => ("stands", Some(server), Some(launch)),
                Progress::Ended => ("over", None, None),
            };
            json!({
                "owner": owner_json(part.owner, names),
                "version": part.version,
                "reached": step,
                "server": server.map(|server| server.0.to_string()),
                "launch": launch.map(|launch| launch.0),
                "barred_ms": part.blocked_until.saturating_sub(now).as_millis() as u64,
            })
        })
        .collect();
    let reading = match copy.reading() {
        ReplicaReading::Answered(_) => "answered",
        ReplicaReading::Ended => "over",
        ReplicaReading::Stands { .. } => "stands",
        ReplicaReading::Open { blocked_until, .. } if blocked_until > now => "barred",
        ReplicaReading::Open { .. } => "open",
    };
    let given = copy.answers().iter();
    let answers: Vec<Value> = given
        .map(|given| json!({ "owner": owner_json(given.owner, names), "answer": given.answer }))
        .collect();
    json!({ "dialogue": &*id.0, "reads": reading, "answers": answers, "parts": parts })
}

/// Dialogues with two different final answers.
pub fn conflicting_dialogues<'a>(
    now: Duration, copies: impl Iterator<Item = (&'a DialogueId, &'a Replica)>, names: &[String],
) -> Value {
    let differing = copies.filter(|(_, copy)| copy.has_conflicting_answers()).take(MAX_LISTED);
    json!(differing.map(|(id, copy)| replica_json(now, id, copy, names)).collect::<Vec<_>>())
}

/// One dialogue as JSON, or null where it is unknown.
pub fn dialogue_json(now: Duration, id: &DialogueId, copy: Option<&Replica>, names: &[String]) -> Value {
    copy.map_or(Value::Null, |copy| replica_json(now, id, copy, names))
}

impl Member {
    /// The status of this member.
    pub fn status(&self, now: Duration) -> Value {
        let plan = self.plan();
        let members: Vec<Value> = (plan.members.iter().enumerate())
            .map(|(place, name)| {
                let member = place as u16;
                let me = member == plan.self_member;
                let (incarnation, view) =
                    (if me { self.incarnation() } else { self.view().incarnation(member) }, self.view());
                json!({
                    "name": name,
                    "this": me,
                    "start": start_count(incarnation),
                    "heard": view.is_reachable(now, member),
                    "away_ms": if me { 0 } else { view.time_since_frame(now, member).as_millis().min(1 << 40) as u64 },
                    "gone": view.is_gone(member),
                    "neighbour": view.is_neighbour(member),
                    "caught_up": if me { self.caught_up() } else { view.has_caught_up(member) },
                })
            })
            .collect();
        let counts = self.counts();
        let (kept, asked) = self.table_sizes();
        json!({
            "member": plan.members.get(usize::from(plan.self_member)),
            "members": members,
            "copies": self.replica_table().len(),
            "lag": self.replica_table().max_lag(),
            "kept_for_callers": kept,
            "asked_for": asked,
            "counts": {
                "writes": counts.writes, "copies_sent": counts.copies_sent, "copies_taken": counts.copies_taken,
                "copies_refused": counts.copies_refused, "replaced": counts.replaced, "differ": counts.differ,
                "asks": counts.asks, "asks_refused": counts.asks_refused, "taken_over": counts.taken_over,
                "released": counts.released, "repaired": counts.repaired, "forgotten": counts.forgotten,
            },
        })
    }

    /// Orders a duty to be handed over: `DUTY`, or `DUTY MEMBER`. The result appears in the status of the duties.
    fn order_hand_over(&mut self, rest: &str) -> Value {
        let (duty, to) = rest.split_once(' ').map_or((rest, None), |(duty, to)| (duty, Some(to)));
        let Some(place) = NAMES.iter().position(|name| *name == duty).filter(|_| self.duties().is_some())
        else {
            return json!({ "error": format!("there is no duty {duty:?} here") });
        };
        let members = &self.plan().members;
        let place_of = |to: &str| members.iter().position(|name| name == to).map(|place| place as u16);
        let to = match to.map(|to| (to, place_of(to))) {
            None => None,
            Some((_, Some(place))) => Some(place),
            Some((to, None)) => return json!({ "error": format!("there is no member {to:?}") }),
        };
        self.hand_over(Duty(place as u16), to);
        json!({ "ordered": duty })
    }

    /// Orders a change of voters to the 3, 5 or 7 named members; voters are changed one at a time.
    fn order_voters(&mut self, rest: &str) -> Value {
        let members = &self.plan().members;
        let place_of = |name: &str| members.iter().position(|known| known == name).map(|place| place as u16);
        let mut voters = Vec::new();
        for name in rest.split_whitespace() {
            match place_of(name) {
                None => return json!({ "error": format!("there is no member {name:?}") }),
                Some(place) if voters.contains(&place) => {
                    return json!({ "error": format!("{name:?} is named twice") });
                }
                Some(place) => voters.push(place),
            }
        }
        if ![3, 5, 7].contains(&voters.len()) || self.duties().is_none() {
            return json!({ "error": "voters are 3, 5 or 7 members of a fleet with duties" });
        }
        self.change_voters(voters);
        json!({ "ordered": rest })
    }

    /// Answers an operator's inquiry (`status`, `duties`, `differ`, `show DIALOGUE`) or order.
    pub(crate) fn answer_inquiry(&mut self, link: PeerLink, what: &str, effects: &mut dyn Effects) {
        let now = self.now();
        let names = &self.plan().members;
        let reply = match what.split_once(' ') {
            None if what == "status" => self.status(now),
            None if what == "duties" => match self.duties() {
                Some(duties) => duties.status(now, names),
                None => json!({ "error": "this fleet has no duties in its sheet" }),
            },
            Some(("publish", name)) => {
                let name = name.to_string();
                match self.publish(now, &name) {
                    true => json!({ "ordered": name }),
                    false => json!({ "error": "nobody holds the duty publish, or too many wait there" }),
                }
            }
            Some(("voters", rest)) => self.order_voters(rest),
            Some(("hand-over", rest)) => self.order_hand_over(rest),
            None if what == "differ" => conflicting_dialogues(now, self.replica_table().iter(), names),
            Some(("show", id)) => {
                let id = DialogueId(id.into());
                dialogue_json(now, &id, self.replica_table().get(&id), names)
            }
            _ => json!({ "error": format!("{what:?} is not known here") }),
        };
        let text = reply.to_string();
        let mut rest = text.as_str();
        loop {
            let mut cut = rest.len().min(CHUNK_BYTES);
            while !rest.is_char_boundary(cut) {
                cut -= 1;
            }
            let (piece, after) = rest.split_at(cut);
            let more = !after.is_empty();
            if !effects.send(link, Frame::PeerMessage(PeerMessage::InquireReply { more, text: piece.into() }))
                || !more
            {
                return;
            }
            rest = after;
        }
    }
}
