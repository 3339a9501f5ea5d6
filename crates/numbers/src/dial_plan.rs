//! From what was dialled to a number of E.164, or to one that only the tenant knows.

use crate::Digits;

/// How the people of a tenant dial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DialPlan {
    pub name: String,
    /// Country code, without "+".
    pub country: Digits,
    /// Where a number without prefixes is in; empty: such a number is in the country at large, or nowhere if the
    /// plan has a trunk prefix.
    pub area: Digits,
    /// What stands for "+", such as 00 and 011.
    pub international: Vec<Digits>,
    /// What stands for the country, such as 0.
    pub trunk: Option<Digits>,
    pub short: Vec<Digits>,
    pub emergency: Vec<Digits>,
    pub extensions: Vec<Extension>,
    /// Digits of an international number, at least.
    pub least: usize,
}

/// Private numbers of one length.
#[derive(Clone, Debug, PartialEq)]
pub struct Extension {
    pub from: Digits,
    pub to: Digits,
    /// What makes them international; none: they stay the tenant's own.
    pub put: Option<Digits>,
}

/// By which rule a number was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Emergency,
    Short,
    Extension,
    International,
    National,
    Local,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialled {
    pub number: Digits,
    pub form: Form,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Undiallable {
    #[error("nothing was dialled")]
    Empty,
    #[error("{0:?} cannot be dialled")]
    Sign(char),
    #[error("too long: E.164 has 15 digits at most")]
    Long,
    #[error("too short: {0} digits")]
    Short(usize),
    #[error("a country code does not begin with 0")]
    Country,
    #[error("no prefix, and the plan has no area for such numbers")]
    NoArea,
}

/// Signs of what is dialled, at most; what people put between digits included.
const MOST_DIALLED: usize = 40;

impl DialPlan {
    /// In this order: emergency, short, extension; "+", international prefix, trunk prefix; else local. So no prefix
    /// can hide an emergency number.
    pub fn read(&self, dialled: &str) -> Result<Dialled, Undiallable> {
        if dialled.chars().count() > MOST_DIALLED {
            return Err(Undiallable::Long);
        }
        let mut text = String::new();
        for sign in dialled.trim().chars() {
            match sign {
                '0'..='9' => text.push(sign),
                '+' if text.is_empty() => text.push(sign),
                ' ' | '-' | '.' | '/' | '(' | ')' => {}
                other => return Err(Undiallable::Sign(other)),
            }
        }
        if text.is_empty() || text == "+" {
            return Err(Undiallable::Empty);
        }
        let Ok(digits) = Digits::parse(&text) else {
            // Longer than any number: perhaps an international prefix makes it so.
            return self.international(&text).unwrap_or(Err(Undiallable::Long));
        };
        let own = |form| Ok(Dialled { number: digits, form });
        if self.emergency.contains(&digits) {
            return own(Form::Emergency);
        }
        if self.short.contains(&digits) {
            return own(Form::Short);
        }
        let extension = self
            .extensions
            .iter()
            .find(|e| e.from.len() == digits.len() && (e.from..=e.to).contains(&digits));
        if let Some(extension) = extension {
            return match extension.put {
                None => own(Form::Extension),
                Some(put) => {
                    let number = put.join(digits.signs()).ok_or(Undiallable::Long)?;
                    Ok(Dialled { number, form: Form::Extension })
                }
            };
        }
        if let Some(found) = self.international(&text) {
            return found;
        }
        let country = self.country.signs();
        if let Some(rest) = self.trunk.and_then(|trunk| text.strip_prefix(&trunk.to_string())) {
            return self.whole(country.chain(rest.chars()), Form::National);
        }
        if !self.area.is_empty() {
            return self.whole(country.chain(self.area.signs()).chain(text.chars()), Form::Local);
        }
        if self.trunk.is_some() {
            return Err(Undiallable::NoArea);
        }
        self.whole(country.chain(text.chars()), Form::National)
    }

    fn international(&self, text: &str) -> Option<Result<Dialled, Undiallable>> {
        let prefixed = self.international.iter().filter_map(|p| text.strip_prefix(&p.to_string()));
        let rest = text.strip_prefix('+').or(prefixed.min_by_key(|rest| rest.len()))?;
        Some(self.whole(rest.chars(), Form::International))
    }

    fn whole(&self, digits: impl Iterator<Item = char>, form: Form) -> Result<Dialled, Undiallable> {
        let number = Digits::default().push('+').expect("the first sign");
        let number = number.join(digits).ok_or(Undiallable::Long)?;
        let count = number.len() - 1;
        if number.signs().nth(1) == Some('0') {
            return Err(Undiallable::Country);
        }
        if count < self.least {
            return Err(Undiallable::Short(count));
        }
        Ok(Dialled { number, form })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digits(text: &str) -> Digits {
        Digits::parse(text).unwrap()
    }

    fn berlin() -> DialPlan {
        DialPlan {
            name: "berlin".into(),
            country: digits("49"),
            area: digits("30"),
            international: vec![digits("00"), digits("0011")],
            trunk: Some(digits("0")),
            short: vec![digits("116117")],
            emergency: vec![digits("112"), digits("110")],
            extensions: vec![
                Extension { from: digits("400"), to: digits("499"), put: Some(digits("+493012")) },
                Extension { from: digits("70"), to: digits("79"), put: None },
            ],
            least: 5,
        }
    }

    #[test]
    fn each_form_is_read_by_its_rule() {
        let plan = berlin();
        for (dialled, number, form) in [
            ("112", "112", Form::Emergency),
            ("116117", "116117", Form::Short),
            ("423", "+493012423", Form::Extension),
            ("75", "75", Form::Extension),
            ("+49 (30) 123-456", "+4930123456", Form::International),
            ("0033 1 23 45 67 89", "+33123456789", Form::International),
            ("0011 33 123456", "+33123456", Form::International),
            ("089/123456", "+4989123456", Form::National),
            ("123456", "+4930123456", Form::Local),
            // The longest number there is, behind the longest prefix.
            ("0011123456789012345", "+123456789012345", Form::International),
        ] {
            assert_eq!(plan.read(dialled), Ok(Dialled { number: digits(number), form }), "{dialled}");
        }
    }

    #[test]
    fn what_cannot_be_dialled_says_why() {
        let plan = berlin();
        for (dialled, why) in [
            ("", Undiallable::Empty),
            ("+", Undiallable::Empty),
            (" ()", Undiallable::Empty),
            ("12#4", Undiallable::Sign('#')),
            ("49+30", Undiallable::Sign('+')),
            ("+1234567890123456", Undiallable::Long),
            ("00123", Undiallable::Short(3)),
            ("+0123456", Undiallable::Country),
            ("12345678901234567890123456789012345678901", Undiallable::Long),
        ] {
            assert_eq!(plan.read(dialled), Err(why), "{dialled}");
        }
        let no_area = DialPlan { area: Digits::default(), ..plan };
        assert_eq!(no_area.read("123456"), Err(Undiallable::NoArea));
        let closed = DialPlan { trunk: None, ..no_area };
        assert_eq!(closed.read("30123456").unwrap().number, digits("+4930123456"));
    }
}
