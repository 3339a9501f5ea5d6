//! Margins by which clocks that run at different rates agree on a span.

use std::time::Duration;

/// The part of a span that may be relied on. Two clocks whose rates are within 5 % of true time agree when one uses this and the
/// other [`extended_for_drift`].
pub fn shortened_for_drift(span: Duration) -> Duration {
    span - span / 16
}

/// The time to wait until a span has passed on every clock.
pub fn extended_for_drift(span: Duration) -> Duration {
    span + span / 8
}
