//! Margins by which clocks that run at different rates agree on a span.

use std::time::Duration;

/// Two clocks that run at rates up to a twentieth from true still agree by these: what one may count on ...
pub fn shortened_for_drift(span: Duration) -> Duration {
    span - span / 16
}

/// ... and what another has to wait.
pub fn extended_for_drift(span: Duration) -> Duration {
    span + span / 8
}
