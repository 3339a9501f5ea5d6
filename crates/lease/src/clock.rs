//! Margins for spans that one machine promises and another waits for, since their clocks may run at different rates.

use std::time::Duration;

/// The part of a span for which a holder may rely on it. If the rates of two clocks are within 5 % of true time, this span has ended
/// on one before [`extended_for_drift`] has ended on the other.
pub fn shortened_for_drift(span: Duration) -> Duration {
    span - span / 16
}

/// The time to wait until a span has passed on every clock.
pub fn extended_for_drift(span: Duration) -> Duration {
    span + span / 8
}
