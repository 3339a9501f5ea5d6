//! Day files, troubles, the tapped wire, and the two drivers that play a day.
