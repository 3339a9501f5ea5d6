//! The slow and obvious analysis: lists gone through from front to back. The judge goes by it, so that what it says
//! of a launch does not rest on the structures that chose it, and tests hold the two against each other.

use jiff::Timestamp;

use crate::analysis::{Late, Refusal, Route, Step, drawn};
use crate::draft::{Change, Draft, Way, WayId};
use crate::{Digits, Form};

#[derive(Clone)]
pub struct Plain(pub Draft);

impl Plain {
    #[must_use]
    pub fn with(&self, change: &Change) -> Self {
        let mut draft = self.0.clone();
        (draft.name, draft.from) = (change.name.clone(), change.from);
        draft.ways.extend(change.ways.iter().cloned());
        for (table, prefix, way) in &change.puts {
            let entries = &mut draft.tables[*table].entries;
            entries.retain(|(known, _)| known != prefix);
            entries.extend(way.map(|way| (*prefix, way)));
        }
        Self(draft)
    }

    pub fn longest(&self, table: usize, number: Digits) -> Option<(Digits, WayId)> {
        let mut best: Option<(Digits, WayId)> = None;
        for (prefix, way) in &self.0.tables[table].entries {
            if number.starts_with(*prefix) && best.is_none_or(|(known, _)| known.len() <= prefix.len()) {
                best = Some((*prefix, *way));
            }
        }
        best
    }

    /// Where a number comes out. `moved` says what look-ups say: none where there is no answer.
    pub fn analyse(
        &self, tenant: Option<u16>, dialled: &str, at: Timestamp, lot: u64,
        moved: &dyn Fn(Digits) -> Option<Option<Digits>>,
    ) -> Step {
        let draft = &self.0;
        let own = draft.tenants.iter().find(|t| t.tenant == tenant);
        let Some(own) = own.or(draft.tenants.iter().find(|t| t.tenant.is_none())) else {
            return Step::Refuse(Refusal::NoTenant);
        };
        let read = match draft.plans[own.plan].read(dialled) {
            Ok(read) => read,
            Err(why) => return Step::Refuse(Refusal::Undiallable(why.to_string())),
        };
        let (mut table, mut by, mut number) = (own.table, read.number, read.number);
        let (mut routing, mut dipped) = (None, false);
        'tables: for _ in 0..100 {
            let found = self.longest(table, by).map(|(_, way)| way).or(draft.tables[table].otherwise);
            let Some(mut at_way) = found else { return Step::Refuse(Refusal::NoWay) };
            for _ in 0..100 {
                match &draft.ways[at_way.0 as usize].1 {
                    Way::Route { group, product, first, width } => {
                        let (group, product, first, width) = (*group, *product, *first, *width);
                        return Step::Route(Route { group, product, first, width, number, routing });
                    }
                    Way::Refuse { cause } => return Step::Refuse(Refusal::Barred(cause.clone())),
                    Way::Hours { schedule, open, closed } => {
                        at_way = if draft.schedules[*schedule].is_open(at) { *open } else { *closed };
                    }
                    Way::Shares(shares) => at_way = drawn(shares, lot, at_way),
                    Way::Rewrite { strip, put, table: next } => {
                        let Some(new) = put.join(by.signs().skip(*strip)).filter(|new| !new.is_empty())
                        else {
                            return Step::Refuse(Refusal::NoNumber);
                        };
                        by = new;
                        if routing.is_none() {
                            number = new;
                        }
                        table = *next;
                        continue 'tables;
                    }
                    Way::Table(next) => {
                        table = *next;
                        continue 'tables;
                    }
                    Way::Ported { table: next, otherwise, late, within: _ } => {
                        if dipped || !by.is_international() || read.form == Form::Emergency {
                            at_way = *otherwise;
                            continue;
                        }
                        dipped = true;
                        match (moved(by), late) {
                            (Some(Some(to)), _) => {
                                routing = Some(to);
                                (by, table) = (to, *next);
                                continue 'tables;
                            }
                            (Some(None), _) | (None, Late::GoOn) => {
                                by = number;
                                at_way = *otherwise;
                            }
                            (None, Late::Refuse) => return Step::Refuse(Refusal::Unanswered),
                        }
                    }
                }
            }
        }
        Step::Refuse(Refusal::NoWay)
    }
}
