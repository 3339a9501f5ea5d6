//! The edge proxy on sockets: one decision thread that owns an `edge::Edge`, a reader and a writer thread for
//! each link, a thread that writes the log, one that owns the store.
//!
//! The decision thread touches no file and no socket and waits for nobody: what it says goes into bounded queues
//! whose overflow has a stated answer (`docs/operators/edge-proxy.md`). It decides nothing by itself. Start
//! reading at [`EdgeSheet`], then [`serve`].

mod loader;
mod logs;
mod look_ups;
mod proxy;
mod records;
mod run;
mod sheet;

pub use loader::{MAX_LINES, read_generation};
pub use logs::{LogForm, logging};
pub use proxy::Proxy;
pub use records::{Remembered, Wall, remembered};
pub use run::{Clocks, serve, serve_with};
pub use sheet::{
    DutyFigures, EdgeSheet, FleetFigures, FleetSheet, LookUpSheet, NumbersSheet, ProductSheet, RouteSheet,
    StoreSheet, TenantSheet,
};
