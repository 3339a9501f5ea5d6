//! After a start an edge proxy does not know which dialogues its former life had launched: a core server may still be
//! at work on one whose link is gone. Nothing is launched until a release time has passed (`crates/model` shows that
//! this holds, and what does not); who cannot wait so long is let go in time.

use std::time::Duration;

/// Before the cut-off a refusal must be given by then.
const KEEP: Duration = Duration::from_millis(40);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum After {
    /// It goes on as if it had just been dialled, with the time that is left.
    Bring,
    LetGo,
}

/// When a dialogue that is dialled while the proxy rests is taken up, and how.
pub fn rest(until: Duration, now: Duration, cut_off: Duration) -> (Duration, After) {
    let last = cut_off.saturating_sub(KEEP).max(now);
    if until <= last { (until, After::Bring) } else { (last, After::LetGo) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whoever_can_wait_is_brought_and_others_are_let_go_in_time() {
        let ms = Duration::from_millis;
        assert_eq!(rest(ms(300), ms(100), ms(3000)), (ms(300), After::Bring));
        assert_eq!(rest(ms(300), ms(100), ms(320)), (ms(280), After::LetGo));
        assert_eq!(rest(ms(300), ms(100), ms(110)), (ms(100), After::LetGo));
        assert_eq!(rest(ms(300), ms(100), ms(340)), (ms(300), After::Bring));
    }
}
