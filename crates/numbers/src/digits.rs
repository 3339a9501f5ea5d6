//! Numbers, packed: a sign or digit takes four bits, first ones highest, so that numbers sort as their texts do and
//! a prefix is a span of them.

use std::fmt;
use std::str::FromStr;

/// Up to 16 signs: "+" and the 15 digits of E.164 (section 6.1), or 16 digits of a number that only a tenant knows.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Digits(u64);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoDigits {
    #[error("{0:?} is no digit")]
    Sign(char),
    #[error("+ stands elsewhere than in front")]
    Plus,
    #[error("over 16 signs")]
    Long,
}

const PLUS: u64 = 11;

impl Digits {
    pub const MOST: usize = 16;

    pub fn raw(self) -> u64 {
        self.0
    }

    /// The digits that [`Digits::raw`] gave.
    pub fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    pub fn len(self) -> usize {
        16 - (self.0.trailing_zeros() as usize / 4).min(16)
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Known the world over, not just to a tenant.
    pub fn is_international(self) -> bool {
        self.0 >> 60 == PLUS
    }

    fn sign(self, place: usize) -> Option<char> {
        match self.0 >> (60 - 4 * place) & 15 {
            0 => None,
            PLUS => Some('+'),
            digit => char::from_digit(digit as u32 - 1, 10),
        }
    }

    pub fn signs(self) -> impl Iterator<Item = char> {
        (0..Self::MOST).map_while(move |place| self.sign(place))
    }

    #[must_use]
    pub fn push(self, sign: char) -> Option<Self> {
        let len = self.len();
        let code = match sign {
            '+' if len == 0 => PLUS,
            digit => u64::from(digit.to_digit(10)?) + 1,
        };
        (len < Self::MOST).then(|| Self(self.0 | code << (60 - 4 * len)))
    }

    /// One after the other; none where that is too long.
    pub fn join(self, rest: impl IntoIterator<Item = char>) -> Option<Self> {
        rest.into_iter().try_fold(self, Self::push)
    }

    /// The first signs.
    #[must_use]
    pub fn first(self, count: usize) -> Self {
        match count {
            0 => Self(0),
            count if count >= Self::MOST => self,
            count => Self(self.0 & !(u64::MAX >> (4 * count))),
        }
    }

    /// The highest raw value that has this prefix.
    pub fn last_below(self) -> u64 {
        match self.len() {
            16 => self.0,
            len => self.0 | u64::MAX >> (4 * len),
        }
    }

    pub fn starts_with(self, prefix: Self) -> bool {
        self.first(prefix.len()) == prefix
    }

    /// How many signs two numbers have in common at their front.
    pub fn common(self, other: Self) -> usize {
        ((self.0 ^ other.0).leading_zeros() as usize / 4).min(self.len()).min(other.len())
    }

    /// As in the sheets: "+", digits, nothing else.
    pub fn parse(text: &str) -> Result<Self, NoDigits> {
        let mut digits = Self::default();
        for (place, sign) in text.chars().enumerate() {
            if sign == '+' && place > 0 {
                return Err(NoDigits::Plus);
            }
            if sign != '+' && !sign.is_ascii_digit() {
                return Err(NoDigits::Sign(sign));
            }
            digits = digits.push(sign).ok_or(NoDigits::Long)?;
        }
        Ok(digits)
    }
}

impl FromStr for Digits {
    type Err = NoDigits;

    fn from_str(text: &str) -> Result<Self, NoDigits> {
        Self::parse(text)
    }
}

impl fmt::Display for Digits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.signs().collect::<String>())
    }
}

impl fmt::Debug for Digits {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn digits_pack_and_unpack() {
        for text in ["", "0", "+", "+49301234567", "112", "+999999999999999", "9999999999999999"] {
            let digits = Digits::parse(text).unwrap();
            assert_eq!((digits.to_string().as_str(), digits.len()), (text, text.len()));
            assert_eq!(Digits::from_raw(digits.raw()), digits);
        }
        assert_eq!(Digits::parse("4+9"), Err(NoDigits::Plus));
        assert_eq!(Digits::parse("49x"), Err(NoDigits::Sign('x')));
        assert_eq!(Digits::parse("+1234567890123456"), Err(NoDigits::Long));
    }

    #[test]
    fn a_prefix_is_a_span_of_numbers() {
        let prefix = Digits::parse("+493").unwrap();
        for (number, within) in [("+493", true), ("+4930", true), ("+4939999999999", true), ("+494", false)] {
            let number = Digits::parse(number).unwrap();
            assert_eq!(number.starts_with(prefix), within);
            assert_eq!((prefix.raw()..=prefix.last_below()).contains(&number.raw()), within, "{number}");
        }
        let full = Digits::parse("9999999999999999").unwrap();
        assert_eq!(full.last_below(), full.raw());
        assert_eq!(full.first(16), full);
        assert_eq!(prefix.common(Digits::parse("+499").unwrap()), 3);
    }
}
