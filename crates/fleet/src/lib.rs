//! One member of a fleet: the group it is in, its lives, the links to its peers, copies of dialogues, what was dialled before, and
//! what members that are gone leave behind.
//!
//! No socket, clock, thread or file: inputs are calls on [`Member`] with the time since the start, outputs are calls on [`Effects`],
//! and what its edge proxy is to be told are [`MemberEvent`]s. It knows no route, limit or load of a core server. Start reading at
//! [`Plan`], then at [`Member`].

mod duties;
mod link_liveness;
mod lives;
mod member;
mod membership_view;
mod peers;
mod plan;
mod publish;
mod redial;
mod status;
mod takeovers;

pub use duties::{CIRCUITS, Duty, DutyPlan, NAMES, PUBLISH, SWEEP};
pub use lives::{Agreed, Lives, start_of};
pub use member::{Effects, Member, MemberCounters, MemberEvent, Save, Stored};
pub use membership_view::{MemberSet, MembershipMessage, MembershipView};
pub use peers::{PeerLink, Peers};
pub use plan::Plan;
pub use redial::{Begin, RedialAction, Redials, Verdict};
pub use status::{copy_text, differ, show};
pub use takeovers::{TakeoverAction, Takeovers};
