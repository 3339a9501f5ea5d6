//! Questions and replies as DNS has them. The library reads and writes the message; what its records mean for a
//! number is read here.

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{NAPTR, SOA};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use lotussaddle_numbers::Digits;
use regex::RegexBuilder;

/// A datagram of DNS without extensions (RFC 1035, 4.2.1).
pub const MAX_DATAGRAM: usize = 512;
/// Records of a reply that are gone through; a datagram has no room for more that mean anything.
const MOST_RECORDS: usize = 32;
/// Bytes that a pattern of a record may come to.
const MOST_PATTERN: usize = 64 * 1024;

/// What is known of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moved {
    /// To where this routing number leads.
    To(Digits),
    Not,
}

impl Moved {
    pub fn routing(self) -> Option<Digits> {
        match self {
            Self::To(routing) => Some(routing),
            Self::Not => None,
        }
    }
}

/// What a reply says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    Number(Moved),
    /// The number is to be asked about under another name (a rule that does not end: RFC 6116, 3.4.2).
    Elsewhere(String),
    /// No more than a datagram holds, and it was cut there.
    Truncated,
    /// The server cannot say.
    Failed(String),
    /// Records that cannot be understood.
    Senseless(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub said: Said,
    /// Seconds for which it holds.
    pub ttl: u32,
}

/// Why a datagram is no reply to a question: it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotOurs {
    #[error("{0} bytes, over {MAX_DATAGRAM}")]
    Long(usize),
    #[error("no message of DNS: {0}")]
    Malformed(String),
    #[error("no reply")]
    NoReply,
    #[error("another id")]
    Id,
    #[error("another question")]
    Question,
}

/// What is asked, and under which name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    pub id: u16,
    pub name: String,
}

impl Question {
    /// The digits turned round, a dot between each two, under a suffix (RFC 6116, 3.2).
    pub fn of(id: u16, number: Digits, suffix: &str) -> Self {
        let mut signs: Vec<char> = number.signs().filter(char::is_ascii_digit).collect();
        signs.reverse();
        let name: String = signs.into_iter().flat_map(|sign| [sign, '.']).collect();
        Self { id, name: name + suffix.trim_end_matches('.') + "." }
    }
}

fn name(text: &str) -> Option<Name> {
    Name::from_ascii(text).ok().filter(Name::is_fqdn)
}

/// None where the name cannot be one of DNS.
pub fn write(question: &Question) -> Option<Vec<u8>> {
    let mut message = Message::new(question.id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name(&question.name)?, RecordType::NAPTR));
    message.to_vec().ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM)
}

impl Reply {
    /// Reads what came from the server that was asked, at the port that asked it. `number` is what the records are
    /// applied to.
    pub fn read(bytes: &[u8], question: &Question, number: Digits) -> Result<Self, NotOurs> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(NotOurs::Long(bytes.len()));
        }
        let message = Message::from_vec(bytes).map_err(|error| NotOurs::Malformed(error.to_string()))?;
        if message.metadata.message_type != MessageType::Response || message.metadata.op_code != OpCode::Query
        {
            return Err(NotOurs::NoReply);
        }
        if message.metadata.id != question.id {
            return Err(NotOurs::Id);
        }
        let [asked] = message.queries.as_slice() else { return Err(NotOurs::Question) };
        let same = name(&question.name).is_some_and(|name| name == *asked.name())
            && asked.query_type() == RecordType::NAPTR
            && asked.query_class() == DNSClass::IN;
        if !same {
            return Err(NotOurs::Question);
        }
        if message.metadata.truncation {
            return Ok(Self { said: Said::Truncated, ttl: 0 });
        }
        let none = || Self { said: Said::Number(Moved::Not), ttl: negative_ttl(&message) };
        match message.metadata.response_code {
            ResponseCode::NoError => {}
            ResponseCode::NXDomain => return Ok(none()),
            other => return Ok(Self { said: Said::Failed(other.to_string()), ttl: 0 }),
        }
        let mut rules: Vec<(&NAPTR, u32)> = message
            .answers
            .iter()
            .take(MOST_RECORDS)
            .filter(|record| record.name == *asked.name() && record.dns_class == DNSClass::IN)
            .filter_map(|record| match &record.data {
                RData::NAPTR(rule) => Some((rule, record.ttl)),
                _ => None,
            })
            .filter(|(rule, _)| is_ours(rule))
            .collect();
        // Lowest order first, then lowest preference (RFC 3403, 4.1).
        rules.sort_by_key(|(rule, _)| (rule.order, rule.preference));
        // Nothing about portability: the number has not moved (RFC 4769, 2).
        let Some((rule, ttl)) = rules.first() else { return Ok(none()) };
        Ok(Self { said: apply(rule, number), ttl: *ttl })
    }
}

/// "E2U+pstn:tel" and "E2U+pstn:sip" (RFC 4769, 3), alone or among other services; a rule that does not end has none.
fn is_ours(rule: &NAPTR) -> bool {
    let services = String::from_utf8_lossy(&rule.services).to_ascii_lowercase();
    let mut parts = services.split('+');
    let ours = parts.next() == Some("e2u") && parts.any(|part| part == "pstn:tel" || part == "pstn:sip");
    ours || (rule.flags.is_empty() && !rule.replacement.is_root())
}

fn apply(rule: &NAPTR, number: Digits) -> Said {
    let flags = String::from_utf8_lossy(&rule.flags).to_ascii_lowercase();
    match flags.as_str() {
        "" => Said::Elsewhere(rule.replacement.to_ascii()),
        "u" => match substitute(&String::from_utf8_lossy(&rule.regexp), &number.to_string()) {
            Ok(uri) => read_uri(&uri),
            Err(why) => Said::Senseless(why),
        },
        other => Said::Senseless(format!("flags {other:?}")),
    }
}

/// A substitution: a sign, a pattern, the sign, what comes in its place, the sign, flags (RFC 3402, 3.2).
fn substitute(expression: &str, number: &str) -> Result<String, String> {
    let sign = expression.chars().next().ok_or("an empty expression")?;
    if sign == '\\' || sign.is_ascii_digit() || sign == 'i' {
        return Err(format!("{sign:?} does not part an expression"));
    }
    let mut parts = vec![String::new()];
    let mut escaped = false;
    for c in expression.chars().skip(1) {
        let last = parts.last_mut().expect("there is one");
        match (escaped, c) {
            (false, c) if c == sign => parts.push(String::new()),
            (true, c) if c == sign => {
                last.pop();
                last.push(c);
            }
            _ => last.push(c),
        }
        escaped = !escaped && c == '\\';
    }
    let [pattern, put, flags] = parts.as_slice() else {
        return Err("an expression has three parts".into());
    };
    let pattern = RegexBuilder::new(pattern)
        .case_insensitive(flags == "i")
        .size_limit(MOST_PATTERN)
        .dfa_size_limit(MOST_PATTERN)
        .build()
        .map_err(|_| format!("pattern {pattern:?} cannot be used"))?;
    let found = pattern.captures(number).ok_or("the pattern does not fit the number")?;
    let mut out = String::new();
    let mut signs = put.chars();
    while let Some(c) = signs.next() {
        match c {
            '\\' => match signs.next() {
                Some(digit @ '1'..='9') => {
                    let group = digit as usize - '0' as usize;
                    out.push_str(found.get(group).map_or("", |part| part.as_str()));
                }
                Some(other) => out.push(other),
                None => return Err("it ends in a backslash".into()),
            },
            c => out.push(c),
        }
    }
    Ok(out)
}

/// A "tel" URI, or the user part of a "sip" one (RFC 3966), with "npdi" and "rn" (RFC 4694).
fn read_uri(uri: &str) -> Said {
    let lower = uri.to_ascii_lowercase();
    let rest = match lower.split_once(':') {
        Some(("tel", rest)) => rest.to_string(),
        Some(("sip" | "sips", rest)) => rest.split('@').next().unwrap_or_default().to_string(),
        _ => return Said::Senseless(format!("{uri:?} is no telephone URI")),
    };
    let mut routing = None;
    let mut context = None;
    let mut dipped = false;
    for parameter in rest.split(';').skip(1) {
        match parameter.split_once('=') {
            None if parameter == "npdi" => dipped = true,
            Some(("rn", value)) => routing = Some(value.to_string()),
            Some(("rn-context", value)) => context = Some(value.to_string()),
            _ => {}
        }
    }
    let Some(routing) = routing else {
        // Without a routing number the number is where it was (RFC 4769, 2.3), whether that was looked up or not.
        let _ = dipped;
        return Said::Number(Moved::Not);
    };
    let whole = if routing.starts_with('+') { routing } else { context.unwrap_or_default() + &routing };
    let plain: String = whole.chars().filter(|c| !matches!(c, '-' | '.' | '(' | ')')).collect();
    match Digits::parse(&plain) {
        Ok(routing) if routing.is_international() && routing.len() > 1 => Said::Number(Moved::To(routing)),
        _ => Said::Senseless(format!("{plain:?} is no routing number")),
    }
}

/// How long a "no" holds (RFC 2308, 5): by the zone's record, which comes along.
fn negative_ttl(message: &Message) -> u32 {
    let soa = message.authorities.iter().find_map(|record| match &record.data {
        RData::SOA(soa) => Some(record.ttl.min(soa.minimum)),
        _ => None,
    });
    soa.unwrap_or(0)
}

// What a stand-in and a judge need.

/// The number that a name stands for.
pub fn number_of(name: &str, suffix: &str) -> Option<Digits> {
    let signs = name.strip_suffix(&format!("{}.", suffix.trim_end_matches('.')))?;
    let digits = signs.split('.').filter(|part| !part.is_empty()).rev().flat_map(str::chars);
    Digits::default().push('+')?.join(digits)
}

/// The question in a datagram, if it is one: its id, and its number.
pub fn question_of(bytes: &[u8], suffix: &str) -> Option<(Question, Digits)> {
    let message = Message::from_vec(bytes).ok()?;
    let [asked] = message.queries.as_slice() else { return None };
    let name = asked.name().to_ascii();
    let number = number_of(&name, suffix)?;
    Some((Question { id: message.metadata.id, name }, number))
}

/// Order, preference, flags, services, expression, replacement.
pub type Rule<'a> = (u16, u16, &'a str, &'a str, &'a str, &'a str);

/// A reply as a server of ENUM gives it; no rules: the name does not exist.
pub fn answer(question: &Question, rules: Option<&[Rule]>, ttl: u32) -> Vec<u8> {
    let mut message = Message::new(question.id, MessageType::Response, OpCode::Query);
    let asked = name(&question.name).unwrap_or_default();
    message.add_query(Query::query(asked.clone(), RecordType::NAPTR));
    message.metadata.recursion_desired = true;
    message.metadata.recursion_available = true;
    match rules {
        None => {
            message.metadata.response_code = ResponseCode::NXDomain;
            let soa = SOA::new(Name::root(), Name::root(), 1, 3600, 600, 86_400, ttl);
            message.add_authority(Record::from_rdata(Name::root(), ttl, RData::SOA(soa)));
        }
        Some(rules) => {
            for (order, preference, flags, services, regexp, replacement) in rules {
                let bytes = |text: &str| text.as_bytes().to_vec().into_boxed_slice();
                let replacement = name(replacement).unwrap_or_else(Name::root);
                let rule = NAPTR::new(
                    *order,
                    *preference,
                    bytes(flags),
                    bytes(services),
                    bytes(regexp),
                    replacement,
                );
                message.add_answer(Record::from_rdata(asked.clone(), ttl, RData::NAPTR(rule)));
            }
        }
    }
    message.to_vec().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digits(text: &str) -> Digits {
        Digits::parse(text).unwrap()
    }

    fn question() -> Question {
        Question::of(7, digits("+12155550123"), "e164.arpa")
    }

    fn said(rules: &[Rule]) -> Said {
        let bytes = answer(&question(), Some(rules), 60);
        Reply::read(&bytes, &question(), digits("+12155550123")).unwrap().said
    }

    #[test]
    fn a_question_is_the_number_turned_round() {
        assert_eq!(question().name, "3.2.1.0.5.5.5.5.1.2.1.e164.arpa.");
        let bytes = write(&question()).unwrap();
        assert_eq!(question_of(&bytes, "e164.arpa"), Some((question(), digits("+12155550123"))));
    }

    #[test]
    fn records_say_where_a_number_is() {
        let tel = "E2U+pstn:tel";
        for (uri, wanted) in [
            (
                "!^.*$!tel:+1-215-555-0123;npdi;rn=+1-215-555-0199!",
                Said::Number(Moved::To(digits("+12155550199"))),
            ),
            ("!^.*$!tel:+1-215-555-0123;npdi!", Said::Number(Moved::Not)),
            (
                "!^.*$!tel:+12155550123;npdi;rn=2155550199;rn-context=+1!",
                Said::Number(Moved::To(digits("+12155550199"))),
            ),
            ("!^\\\\+1(.*)$!tel:+1\\\\1;rn=+1\\\\1!", Said::Number(Moved::To(digits("+12155550123")))),
        ] {
            let uri = uri.replace("\\\\", "\\");
            assert_eq!(said(&[(10, 10, "u", tel, &uri, ".")]), wanted, "{uri}");
        }
        let sip = "!^.*$!sip:+12155550123;npdi;rn=+12155550199@gw.example.com;user=phone!";
        assert_eq!(
            said(&[(10, 10, "U", "E2U+PSTN:SIP", sip, ".")]),
            Said::Number(Moved::To(digits("+12155550199")))
        );
        // Other services say nothing about it; the lowest order counts, then the lowest preference.
        let moved = |to: &str| format!("!^.*$!tel:+12155550123;npdi;rn={to}!");
        let rules = [
            (5, 1, "u", "E2U+sip", "!^.*$!sip:a@b!", "."),
            (20, 1, "u", tel, &moved("+13"), "."),
            (10, 9, "u", tel, &moved("+12"), "."),
            (10, 8, "u", tel, &moved("+11"), "."),
        ];
        assert_eq!(said(&rules), Said::Number(Moved::To(digits("+11"))));
        assert_eq!(said(&rules[..1]), Said::Number(Moved::Not));
        assert_eq!(said(&[(1, 1, "", "", "", "a.e164.arpa.")]), Said::Elsewhere("a.e164.arpa.".into()));
    }

    #[test]
    fn what_makes_no_sense_is_told_apart_from_no() {
        for (flags, expression) in [
            ("u", ""),
            ("u", "!^.*$!mailto:a@b!"),
            ("u", "!^.*$!tel:+1;rn=abc!"),
            ("u", "!^.*$!tel:+1;rn=12345!"),
            ("u", "!^.*$!tel:+1;rn=+1234567890123456789!"),
            ("u", "!(!tel:+1!"),
            ("u", "!^.*$!tel:+1"),
            ("u", "!^9$!tel:+1!"),
            ("u", "!^.*$!tel:+1\\"),
            ("u", "!(((.{1000}){1000}){1000}){1000}!tel:+1!"),
            ("s", "!^.*$!tel:+1!"),
        ] {
            let found = said(&[(1, 1, flags, "E2U+pstn:tel", expression, ".")]);
            assert!(matches!(found, Said::Senseless(_)), "{expression}: {found:?}");
        }
    }

    #[test]
    fn what_does_not_answer_the_question_is_not_ours() {
        let good = answer(&question(), None, 30);
        let read = |bytes: &[u8]| Reply::read(bytes, &question(), digits("+12155550123"));
        assert_eq!(read(&good), Ok(Reply { said: Said::Number(Moved::Not), ttl: 30 }));
        let other = Question { id: 8, ..question() };
        assert_eq!(read(&answer(&other, None, 30)), Err(NotOurs::Id));
        let other = Question::of(7, digits("+12155550124"), "e164.arpa");
        assert_eq!(read(&answer(&other, None, 30)), Err(NotOurs::Question));
        assert_eq!(read(&write(&question()).unwrap()), Err(NotOurs::NoReply));
        assert_eq!(read(&[0; 600]), Err(NotOurs::Long(600)));
        for cut in 0..good.len() {
            assert!(read(&good[..cut]).is_err(), "cut at {cut}");
        }
        let mut truncated = good.clone();
        truncated[2] |= 2;
        assert_eq!(read(&truncated), Ok(Reply { said: Said::Truncated, ttl: 0 }));
        let mut failed = answer(&question(), Some(&[]), 30);
        failed[3] = failed[3] & 0xf0 | 2;
        assert!(matches!(read(&failed), Ok(Reply { said: Said::Failed(_), .. })));
        // A name that points at itself: compressed names may loop.
        let mut looping = good.clone();
        looping[12] = 0xc0;
        looping[13] = 12;
        assert!(read(&looping).is_err());
    }
}
