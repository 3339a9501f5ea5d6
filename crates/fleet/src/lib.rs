//! One member of a fleet of edge proxies: its group, its incarnations, the links to its peers, the replicas of dialogues, redialled
//! dialogues, and the takeover of dialogues whose owner is gone.
//!
//! The package uses no socket, clock, thread or file. Inputs are calls on [`Member`] with the time since the start, outputs are calls
//! on [`Effects`], and results for the member's edge proxy are [`Finding`]s. It does not know any route, limit or load of a core
//! server. Start reading at [`Plan`], then at [`Member`].

mod duties;
mod incarnations;
mod link_liveness;
mod member;
mod membership_view;
mod peers;
mod plan;
mod publish;
mod redial;
mod status;
mod takeovers;

pub use duties::{CIRCUITS, Duty, DutyPlan, NAMES, PUBLISH, SWEEP};
pub use incarnations::{IncarnationTracker, ProposalOutcome, start_count};
pub use member::{Effects, Member, MemberCounters, MemberEvent, Save, Stored};
pub use membership_view::{MemberSet, MembershipMessage, MembershipView};
pub use peers::{PeerLink, Peers};
pub use plan::Plan;
pub use redial::{RedialAction, RedialSearch, Redials, Verdict};
pub use status::{conflicting_dialogues, dialogue_json, replica_json};
pub use takeovers::{TakeoverAction, Takeovers};
