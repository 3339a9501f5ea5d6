//! The five rules and the gain, told from a record of traffic alone.
