//! Hours of the week and of single days, by the clock on a wall somewhere.

use std::collections::BTreeMap;

use jiff::Timestamp;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;

/// From a minute of the day to another, the last one left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hours {
    pub from: u16,
    pub to: u16,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub name: String,
    pub zone: TimeZone,
    /// By day, Monday first.
    pub week: [Vec<Hours>; 7],
    /// Days that keep hours of their own, none where they are closed; these go before days of each year.
    pub dates: BTreeMap<Date, Vec<Hours>>,
    /// By month and day.
    pub yearly: BTreeMap<(i8, i8), Vec<Hours>>,
}

impl Schedule {
    /// Goes by what the clock on the wall shows: an hour that comes twice is open or closed both times, one that
    /// never comes opens nothing.
    pub fn is_open(&self, at: Timestamp) -> bool {
        let wall = self.zone.to_datetime(at);
        let minute = wall.time().hour() as u16 * 60 + wall.time().minute() as u16;
        let hours = self.day(wall.date());
        hours.iter().any(|hours| (hours.from..hours.to).contains(&minute))
    }

    fn day(&self, date: Date) -> &[Hours] {
        let own = self.dates.get(&date).or_else(|| self.yearly.get(&(date.month(), date.day())));
        own.unwrap_or(&self.week[date.weekday().to_monday_zero_offset() as usize])
    }
}

impl Hours {
    /// "08:00" to "18:00"; "24:00" ends a day.
    pub fn read(from: &str, to: &str) -> Option<Self> {
        let hours = Self { from: minute(from)?, to: minute(to)? };
        (hours.from < 1440).then_some(hours)
    }

    /// Hours over midnight are those of two days.
    pub fn over_midnight(self) -> Option<(Self, Self)> {
        (self.to <= self.from).then_some((Self { from: self.from, to: 1440 }, Self { from: 0, to: self.to }))
    }
}

fn minute(text: &str) -> Option<u16> {
    if text == "24:00" {
        return Some(1440);
    }
    let (hours, minutes) = text.split_once(':')?;
    let two = |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
    if !two(hours) || !two(minutes) {
        return None;
    }
    let time = Time::new(hours.parse().ok()?, minutes.parse().ok()?, 0, 0).ok()?;
    Some(time.hour() as u16 * 60 + time.minute() as u16)
}

/// "mon" or "mon-fri"; a span may go over Sunday.
pub fn days(text: &str) -> Option<Vec<usize>> {
    let day = |name: &str| {
        let all = [
            ("mon", Weekday::Monday),
            ("tue", Weekday::Tuesday),
            ("wed", Weekday::Wednesday),
            ("thu", Weekday::Thursday),
            ("fri", Weekday::Friday),
            ("sat", Weekday::Saturday),
            ("sun", Weekday::Sunday),
        ];
        let found = all.iter().find(|(known, _)| *known == name)?;
        Some(found.1.to_monday_zero_offset() as usize)
    };
    let (from, to) = text.split_once('-').unwrap_or((text, text));
    let (from, to) = (day(from)?, day(to)?);
    Some((0..=(7 + to - from) % 7).map(|step| (from + step) % 7).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn schedule(hours: &[(usize, &str, &str)]) -> Schedule {
        let mut week: [Vec<Hours>; 7] = Default::default();
        for (day, from, to) in hours {
            week[*day].push(Hours::read(from, to).unwrap());
        }
        let zone = TimeZone::get("Europe/Berlin").unwrap();
        Schedule { name: "t".into(), zone, week, dates: BTreeMap::new(), yearly: BTreeMap::new() }
    }

    fn at(text: &str) -> Timestamp {
        text.parse().unwrap()
    }

    #[test]
    fn an_hour_that_comes_twice_is_open_both_times() {
        // 25 October 2026: at 03:00 the clocks go back to 02:00.
        let night = schedule(&[(6, "02:00", "02:30")]);
        for (time, open) in [
            ("2026-10-24T23:59:59Z", false),
            ("2026-10-25T00:00:00Z", true), // 02:00, for the first time
            ("2026-10-25T00:30:00Z", false),
            ("2026-10-25T01:00:00Z", true), // 02:00 again
            ("2026-10-25T01:29:59Z", true),
            ("2026-10-25T01:30:00Z", false),
        ] {
            assert_eq!(night.is_open(at(time)), open, "{time}");
        }
    }

    #[test]
    fn an_hour_that_never_comes_opens_nothing() {
        // 29 March 2026: 02:00 is 03:00.
        let never = schedule(&[(6, "02:15", "02:45")]);
        let mut time = at("2026-03-28T22:00:00Z");
        while time < at("2026-03-29T23:00:00Z") {
            assert!(!never.is_open(time), "{time}");
            time += std::time::Duration::from_secs(60);
        }
        let over = schedule(&[(6, "02:15", "03:30")]);
        assert!(!over.is_open(at("2026-03-29T00:59:59Z")), "01:59");
        assert!(over.is_open(at("2026-03-29T01:00:00Z")), "03:00, the next second");
        assert!(!over.is_open(at("2026-03-29T01:30:00Z")));
    }

    #[test]
    fn single_days_go_before_days_of_each_year_and_these_before_the_week() {
        let mut office = schedule(&[(3, "08:00", "18:00"), (4, "08:00", "18:00")]);
        office.yearly.insert((12, 24), vec![Hours::read("08:00", "12:00").unwrap()]);
        office.dates.insert("2026-12-24".parse().unwrap(), vec![]);
        assert!(office.is_open(at("2026-12-17T13:00:00Z")));
        assert!(!office.is_open(at("2026-12-24T09:00:00Z")), "that one");
        assert!(office.is_open(at("2027-12-24T09:00:00Z")), "each year");
        assert!(!office.is_open(at("2027-12-24T13:00:00Z")));
    }

    #[test]
    fn days_and_hours_are_read_strictly() {
        assert_eq!(days("fri-mon"), Some(vec![4, 5, 6, 0]));
        assert_eq!(days("sun"), Some(vec![6]));
        assert_eq!(days("monday"), None);
        for (from, to) in [("8:00", "18:00"), ("24:00", "24:00"), ("08:60", "09:00"), ("+8:00", "09:00")] {
            assert_eq!(Hours::read(from, to), None, "{from}");
        }
        let night = Hours::read("22:00", "06:00").unwrap();
        assert_eq!(night.over_midnight(), Some((Hours { from: 1320, to: 1440 }, Hours { from: 0, to: 360 })));
    }
}
