//! The days that come with the program.

use lotussaddle_sheet::{Mistakes, Sheet};

use crate::plan::Day;

/// Names and sheets.
pub const DAYS: [(&str, &str); 6] = [
    ("quiet", include_str!("../days/quiet.kdl")),
    ("sale-week", include_str!("../days/sale-week.kdl")),
    ("rolling", include_str!("../days/rolling.kdl")),
    ("new-year", include_str!("../days/new-year.kdl")),
    ("cut-off-region", include_str!("../days/cut-off-region.kdl")),
    ("fleet", include_str!("../days/fleet.kdl")),
];

/// One of them by its name.
pub fn by_name(name: &str) -> Option<Result<Day, Mistakes>> {
    let (_, text) = DAYS.iter().find(|(known, _)| *known == name)?;
    Some(Sheet::read(&format!("{name}.kdl"), text).and_then(Day::read))
}
